// Command pomelosill-entry takes callers' jobs, places their tasks and serves
// operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/entry"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "pomelosill-entry:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "pomelosill-entry",
		Usage:   "take callers' jobs, place their tasks and serve operators",
		Version: process.Version(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
	}
}

func run(ctx context.Context, path string) error {
	s := entry.DefaultSettings()
	if err := settings.Load(path, s); err != nil {
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
