// Command pomelosill-agent is the process beside each endpoint.
package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/agent"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/settings"
)

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:    "pomelosill-agent",
		Usage:   "announce an endpoint and run its tasks",
		Version: process.Version(),
		Description: "Runs beside one endpoint. SIGTERM drains: running tasks finish,\n" +
			"their outcomes are delivered, then the process ends.",
		Flags:  []cli.Flag{process.SettingsFlag("docs/examples/agent.jsonc")},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s := agent.DefaultSettings()
	if err := settings.Load(c.String("settings"), &s); err != nil {
		return err
	}
	log, err := process.NewLogger(s.LogLevel)
	if err != nil {
		return err
	}
	a, err := agent.New(s, process.Version(), log)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
