package main

import (
	"time"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/client"
)

// answerGracePeriod is how long the client waits for an answer after the
// requested timeout or wait has passed.
const answerGracePeriod = 15 * time.Second

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:    "entry",
		Usage:   "`ADDRESS` of an entry's API for callers, IP:port; the next one is tried if a connection breaks",
		Sources: cli.EnvVars("POMELOSILL_ENTRY"),
		Value:   []string{"127.0.0.1:7001"},
	}
}

func adminFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:    "admin",
		Usage:   "`ADDRESS` of an entry's API for operators, IP:port; the next one is tried if this one cannot be reached",
		Sources: cli.EnvVars("POMELOSILL_ADMIN"),
		Value:   []string{"127.0.0.1:7003"},
	}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "token",
		Usage:   "`TOKEN` from the entries' settings; prefer POMELOSILL_TOKEN, which other users of the host can't see",
		Sources: cli.EnvVars("POMELOSILL_TOKEN"),
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the complete answer as JSON"}
}

// newClient returns a client for the addresses in a flag.
func newClient(c *cli.Command, addressFlag string) (*client.Client, error) {
	return client.New(c.StringSlice(addressFlag), c.String("token"))
}

// oneArgument returns the command's argument, or an error unless there is exactly
// one.
func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageErrorf("expected one argument, %s; see pomelosill %s --help", what, c.Name)
	}
	return c.Args().First(), nil
}
