// Command pomelosill-standin provides simulated endpoints and a simulated store of
// the platform, for tests and demos only.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/standin/endpoint"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
)

// shutdownTimeout is how long requests in progress may take after SIGTERM.
const shutdownTimeout = 10 * time.Second

// endpointSpec is one element of the list in the file that the subcommand
// endpoints reads.
type endpointSpec struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Slots  int    `json:"slots"`
	// Journal is the path of a file to which a line is appended per start. If
	// it is empty, no journal is written.
	Journal string `json:"journal"`
}

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:    "pomelosill-standin",
		Usage:   "simulate the platform's store and endpoints, for tests and demos",
		Version: process.Version(),
		Commands: []*cli.Command{
			platformCommand(),
			endpointCommand(),
			endpointsCommand(),
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve an initially empty key-value store; /faults injects faults, /calls returns counts of calls",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` as ip:port"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := kvstore.NewServer(time.Now)
			return serve(ctx, c.String("listen"), s.Handler(), s.Close)
		},
	}
}

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoint",
		Usage: "serve one endpoint; /starts returns the starts, /faults injects faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` as ip:port"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum number of concurrently running tasks"},
			&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` of the endpoint in its responses"},
			&cli.StringFlag{Name: "journal", Usage: "append a JSON line per start to `FILE`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveEndpoint(ctx, endpointSpec{
				Name:    c.String("name"),
				Listen:  c.String("listen"),
				Slots:   c.Int("slots"),
				Journal: c.String("journal"),
			})
		},
	}
}

func endpointsCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "serve many endpoints in one process",
		Flags: []cli.Flag{&cli.StringFlag{Name: "file", Required: true, Usage: "`FILE` with a JSON list of {name, listen, slots, journal}"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			text, err := os.ReadFile(c.String("file"))
			if err != nil {
				return err
			}
			var specs []endpointSpec
			if err := json.Unmarshal(text, &specs); err != nil {
				return fmt.Errorf("%s: %w", c.String("file"), err)
			}
			group, ctx := errgroup.WithContext(ctx)
			for _, spec := range specs {
				group.Go(func() error { return serveEndpoint(ctx, spec) })
			}
			return group.Wait()
		},
	}
}

func serveEndpoint(ctx context.Context, spec endpointSpec) error {
	journal, err := openJournal(spec.Journal)
	if err != nil {
		return err
	}
	defer func() { _ = journal.Close() }()
	s := endpoint.NewServer(spec.Name, spec.Slots, journal)
	return serve(ctx, spec.Listen, s.Handler(), s.Close)
}

func openJournal(path string) (io.WriteCloser, error) {
	if path == "" {
		path = os.DevNull
	}
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}

// serve serves h until ctx ends, and then waits for the requests in progress.
// release must end requests that could otherwise block for longer than
// shutdownTimeout.
func serve(ctx context.Context, addr string, h http.Handler, release func()) error {
	listener, err := process.Listen(ctx, network.TCP, addr)
	if err != nil {
		return err
	}
	server := process.NewServer(h)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	release()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
