// Command pomelosill-entry accepts callers' jobs, assigns their tasks to endpoints
// and serves operators.
package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/entry"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/settings"
)

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:    "pomelosill-entry",
		Usage:   "accept callers' jobs, assign their tasks to endpoints and serve operators",
		Version: process.Version(),
		Flags:   []cli.Flag{process.SettingsFlag("docs/examples/entry.jsonc")},
		Description: "Runs behind the platform's load balancer. After SIGTERM it hands over its\n" +
			"cells, answers every request in progress, and exits.",
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s := entry.DefaultSettings()
	if err := settings.Load(c.String("settings"), s); err != nil {
		return err
	}
	log, err := process.NewLogger(s.LogLevel)
	if err != nil {
		return err
	}
	debug, err := process.NewDebug("pomelosill-entry")
	if err != nil {
		return err
	}
	return entry.New(s, log, debug).Run(ctx)
}
