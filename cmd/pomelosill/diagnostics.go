package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/pomelosill/pomelosill/internal/agent"
	"github.com/pomelosill/pomelosill/internal/client"
	"github.com/pomelosill/pomelosill/internal/entry"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/settings"
)

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:      "dump",
		Usage:     "print the state dump of a process as JSON",
		ArgsUsage: "ADDRESS",
		Description: "ADDRESS is an entry's admin address or an agent's listen address, IP:port.\n" +
			"A tool such as jq can extract fields of the dump.",
		Flags:  []cli.Flag{tokenFlag()},
		Action: runDump,
	}
}

func runDump(ctx context.Context, c *cli.Command) error {
	address, err := oneArgument(c, "an address")
	if err != nil {
		return err
	}
	cl, err := client.New([]string{address}, c.String("token"))
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	state, err := cl.Dump(ctx)
	if err != nil {
		return err
	}
	return writeJSON(c.Root().Writer, state)
}

// defaultSettings contains, by program, a function that returns its default
// settings.
var defaultSettings = map[string]func() settings.Settings{
	"entry": func() settings.Settings { return entry.DefaultSettings() },
	"agent": func() settings.Settings {
		s := agent.DefaultSettings()
		return &s
	},
}

func programNames() string {
	return strings.Join(slices.Sorted(maps.Keys(defaultSettings)), " or ")
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "work with settings files",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings file, and report an error with file, line, column, field and reason",
			ArgsUsage: "FILE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "program", Required: true, Usage: "the `PROGRAM` that reads the file: " + programNames()},
				&cli.BoolFlag{Name: "show", Usage: "print the settings including defaults, with tokens redacted"},
			},
			Action: runSettingsCheck,
		}},
	}
}

func runSettingsCheck(_ context.Context, c *cli.Command) error {
	path, err := oneArgument(c, "a settings file")
	if err != nil {
		return err
	}
	newSettings, ok := defaultSettings[c.String("program")]
	if !ok {
		return usageErrorf("--program must be %s", programNames())
	}
	s := newSettings()
	if err := settings.Load(path, s); err != nil {
		return err
	}
	if c.Bool("show") {
		return writeJSON(c.Root().Writer, s)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid settings for pomelosill-%s\n", path, c.String("program"))
	return err
}

func codesCommand() *cli.Command {
	return &cli.Command{
		Name:   "codes",
		Usage:  "list the result codes, and whether the work may have run",
		Flags:  []cli.Flag{jsonFlag()},
		Action: runCodes,
	}
}

func runCodes(_ context.Context, c *cli.Command) error {
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, result.Table())
	}
	var rows [][]any
	for _, info := range result.Table() {
		rows = append(rows, []any{uint32(info.Code), info.Name, info.Effect, info.Retryable, info.HTTPStatus, info.Text})
	}
	return writeTable(c.Root().Writer, []string{"code", "name", "effect", "retry", "http", "text"}, rows)
}
