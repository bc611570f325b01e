package main

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/admin"
	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// defaultWait is how long a command waits by default to be in force everywhere.
// Being in force may take longer.
const defaultWait = 4 * time.Second

const queryDescription = `The arguments are joined to one statement. Quote characters that are special to
the shell.

   pomelosill q domains
   pomelosill q 'endpoints where running > 3 sort running desc'
   pomelosill q --dry-run take domain '"Los Olivos"' out
   pomelosill q take domain '"Los Olivos"' out
   pomelosill q set team alerts weight 3 max_running 40 domains Comas,Carabayllo
   pomelosill q 'cancel jobs where team = alerts and age > 1m'

docs/QUERY.md describes the language.`

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:        "query",
		Aliases:     []string{"q"},
		Usage:       "inspect or control the system with one statement",
		ArgsUsage:   "SENTENCE...",
		Description: queryDescription,
		Flags: []cli.Flag{
			adminFlag(),
			tokenFlag(),
			jsonFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "check a command and show what it would affect"},
			&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "how long to wait for a command to be in force everywhere; 0s checks once"},
		},
		Action: runQuery,
	}
}

func runQuery(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return usageErrorf("expected a statement; see pomelosill query --help")
	}
	wait := c.Duration("wait")
	if wait < 0 || wait > admin.MaxWait {
		return usageErrorf("--wait must be from 0s to %s", admin.MaxWait)
	}
	cl, err := newClient(c, "admin")
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, wait+answerGracePeriod)
	defer cancel()
	reply, err := cl.Query(ctx, api.Statement{
		Text:   strings.Join(c.Args().Slice(), " "),
		DryRun: c.Bool("dry-run"),
		WaitMS: int64(wait / time.Millisecond),
	})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = writeJSON(c.Root().Writer, reply)
	} else {
		err = writeReply(c.Root().Writer, reply)
	}
	if err == nil && reply.Code != result.OK {
		err = newStatusError(reply.Code)
	}
	return err
}
