package main

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/client"
)

// answerGracePeriod is how long an answer may come after the time that was asked for.
const answerGracePeriod = 15 * time.Second

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:    "entry",
		Usage:   "callers' `ADDRESS` of an entry, IP:port; the next one is tried when a connection breaks",
		Sources: cli.EnvVars("POMELOSILL_ENTRY"),
		Value:   []string{"127.0.0.1:7001"},
	}
}

func adminFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:    "admin",
		Usage:   "operators' `ADDRESS` of an entry, IP:port; the next one is tried when one can't be reached",
		Sources: cli.EnvVars("POMELOSILL_ADMIN"),
		Value:   []string{"127.0.0.1:7003"},
	}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "token",
		Usage:   "`TOKEN` from the entries' settings; better given as POMELOSILL_TOKEN, where other users of the host can't see it",
		Sources: cli.EnvVars("POMELOSILL_TOKEN"),
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the whole answer as JSON"}
}

// newClient makes a client from the flag that holds the addresses.
func newClient(c *cli.Command, addressFlag string) (*client.Client, error) {
	return client.New(c.StringSlice(addressFlag), c.String("token"))
}

// oneArgument returns the command's only argument.
func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageErrorf("expected one argument, %s; see pomelosill %s --help", what, c.Name)
	}
	return c.Args().First(), nil
}
