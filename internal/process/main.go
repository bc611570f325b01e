package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs a program's command until it returns; SIGTERM and SIGINT end its
// context. An error is printed and makes the exit status 1.
func Main(cmd *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name, err)
		os.Exit(1)
	}
}

// SettingsFlag is the flag of a program that reads a settings file; example
// names the documented one.
func SettingsFlag(example string) cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Usage:    "settings `FILE`, JSON with comments (see " + example + ")",
		Required: true,
	}
}
