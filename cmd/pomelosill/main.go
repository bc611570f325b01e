// Command pomelosill is the command line of operators and callers.
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

const description = `Operators inspect and command the system with query, callers submit jobs.

   pomelosill query 'jobs where team = alerts and state = running sort age desc'
   pomelosill query take domain Comas out
   pomelosill submit --team alerts --tasks 20 --run-ms 100
   pomelosill dump 127.0.0.1:7003

Addresses and the token can stand in the environment: POMELOSILL_ADMIN and
POMELOSILL_ENTRY (separated by commas), POMELOSILL_TOKEN.

EXIT STATUS:
   0  done
   1  refused or failed: nothing ran, or nothing was changed
   2  the command line is wrong
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
		Usage:       "inspect and command a pomelosill system, and submit jobs to it",
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
		// Errors are printed and turned into an exit status by main alone.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         requireSubcommand,
	}
}

// requireSubcommand shows the help and refuses a name that is no command.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageErrorf("%q is no command; see pomelosill --help", c.Args().First())
	}
	return cli.ShowAppHelp(c)
}
