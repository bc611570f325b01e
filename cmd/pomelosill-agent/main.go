// Command pomelosill-agent runs next to an endpoint and starts the tasks that
// entries send to it.
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
		Usage:   "attach an endpoint to the entries and run its tasks",
		Version: process.Version(),
		Description: "Runs next to one endpoint. After SIGTERM running tasks finish, their\n" +
			"outcomes are delivered, and then the process exits.",
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
