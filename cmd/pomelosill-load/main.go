// Command pomelosill-load submits load to a running fleet, compares the measured
// response times with those of a simulated ideal queue, and writes one JSON line
// per scenario.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/load/report"
	"github.com/pomelosill/pomelosill/internal/load/scenario"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/settings"
)

const defaultDuration = time.Minute

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:    "pomelosill-load",
		Usage:   "compare a running fleet with an ideal schedule or with other scheduling policies",
		Version: process.Version(),
		Commands: []*cli.Command{
			{Name: "run", Usage: "run one scenario and print its JSON line", Flags: runFlags(), Action: runScenario},
			{Name: "table", Usage: "turn JSON lines on standard input into a table", Action: printTable},
			{Name: "scenarios", Usage: "list the scenarios", Action: listScenarios},
		},
	}
}

func runFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "fleet", Required: true, Usage: "`FILE` with the addresses of the fleet (JSON with comments)"},
		&cli.StringFlag{Name: "scenario", Value: "steady", Usage: "`NAME` of a scenario"},
		&cli.StringFlag{Name: "policy", Value: scenario.PolicyProduct, Usage: "scheduling `POLICY`: product, or fcfs or two-choices for comparison"},
		&cli.StringFlag{Name: "size", Usage: "`NAME` of the fleet's size, copied to the JSON line"},
		&cli.FloatFlag{Name: "load", Usage: "offered work as a `FRACTION` of the slots (default: the scenario's)"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the generated jobs"},
		&cli.DurationFlag{Name: "length", Value: defaultDuration, Usage: "time over which jobs are submitted"},
	}
}

func runScenario(ctx context.Context, c *cli.Command) error {
	log, err := process.NewLogger("info")
	if err != nil {
		return err
	}
	var fleet scenario.Fleet
	if err := settings.Load(c.String("fleet"), &fleet); err != nil {
		return err
	}
	runner := scenario.Runner{Fleet: &fleet, Log: process.WithLogPrefix(log, "load")}
	line, err := runner.Run(ctx, scenario.Options{
		Scenario: c.String("scenario"),
		Policy:   c.String("policy"),
		Size:     c.String("size"),
		Load:     c.Float("load"),
		Seed:     c.Uint64("seed"),
		Duration: c.Duration("length"),
	})
	if err != nil {
		return err
	}
	return report.WriteJSON(os.Stdout, line)
}

func printTable(context.Context, *cli.Command) error {
	lines, err := report.ReadJSON(os.Stdin)
	if err != nil {
		return err
	}
	return report.WriteTable(os.Stdout, lines)
}

func listScenarios(context.Context, *cli.Command) error {
	for _, s := range scenario.List() {
		fmt.Printf("%-18s %s\n", s.Name, s.Summary)
	}
	return nil
}
