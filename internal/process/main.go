package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs a program's command until it returns. SIGTERM and SIGINT cancel its
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

// SettingsFlag returns the flag for the path of the settings file. example is
// the documented settings file that the help text refers to.
func SettingsFlag(example string) cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Usage:    "settings `FILE`, JSON with comments (see " + example + ")",
		Required: true,
	}
}
