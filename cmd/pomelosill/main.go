// Command pomelosill is the command line client for operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/process"
)

const description = `Operators inspect and control the system with query; callers submit jobs.

   pomelosill query 'jobs where team = alerts and state = running sort age desc'
   pomelosill query take domain Comas out
   pomelosill submit --team alerts --tasks 20 --run-ms 100
   pomelosill dump 127.0.0.1:7003

The environment variables POMELOSILL_ADMIN and POMELOSILL_ENTRY (comma-separated
addresses) and POMELOSILL_TOKEN are used for flags that are not given.

EXIT STATUS:
   0  done
   1  refused or failed: nothing ran, or nothing was changed
   2  invalid command line
   3  unknown: the work may have run, or the command is not confirmed
   4  no address answered`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().Run(ctx, os.Args)
	stop()
	var printed *statusError
	if err != nil && !errors.As(err, &printed) {
		fmt.Fprintln(os.Stderr, "pomelosill:", err)
	}
	os.Exit(exitStatus(err))
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:        "pomelosill",
		Usage:       "inspect and control a pomelosill system, and submit jobs to it",
		Version:     process.Version(),
		Description: description,
		Commands: []*cli.Command{
			queryCommand(),
			submitCommand(),
			jobCommand(),
			cancelCommand(),
			dumpCommand(),
			settingsCommand(),
			codesCommand(),
		},
		Suggest: true,
		// main prints errors and sets the exit status.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         requireSubcommand,
	}
}

// requireSubcommand prints the help, or returns an error for an unknown command.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageErrorf("unknown command %q; see pomelosill --help", c.Args().First())
	}
	return cli.ShowAppHelp(c)
}
