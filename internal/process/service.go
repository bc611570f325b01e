package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Service is a program that runs until SIGTERM and survives SIGHUP.
type Service struct {
	Name        string
	Usage       string
	Description string
	// Example names the documented settings file.
	Example string
	// Settings is filled with defaults.
	Settings ServiceSettings
	// Start makes what runs.
	Start func(log *zap.Logger) (Runnable, error)
}

// ServiceSettings are settings that name the log's level.
type ServiceSettings interface {
	settings.Settings
	Level() string
}

// Runnable serves until ctx ends.
type Runnable interface {
	Run(ctx context.Context) error
}

// Command is the service's command line.
func (s *Service) Command() *cli.Command {
	return &cli.Command{
		Name:        s.Name,
		Usage:       s.Usage,
		Version:     Version(),
		Description: s.Description,
		Flags:       []cli.Flag{SettingsFlag(s.Example)},
		Action: func(ctx context.Context, c *cli.Command) error {
			return s.run(ctx, c.String("settings"))
		},
	}
}

func (s *Service) run(ctx context.Context, path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if err := settings.Load(path, s.Settings); err != nil {
		return err
	}
	log, err := NewAsyncLogger(os.Stdout, s.Settings.Level())
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	r, err := s.Start(log)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go checkOnHangup(path, s.Settings, hup, done, log)
	return r.Run(ctx)
}

// checkOnHangup checks the settings file at each SIGHUP. Addresses and names hold for
// the life of the process, so a change of them waits for the next start.
func checkOnHangup(path string, current settings.Settings, hup <-chan os.Signal, done <-chan struct{}, log *zap.Logger) {
	for {
		select {
		case <-done:
			return
		case <-hup:
			if err := settings.CheckFile(path, current); err != nil {
				log.Warn("settings: changed file refused, the old settings stay", zap.Error(err))
				continue
			}
			log.Info("settings: file read again; it holds from the next start")
		}
	}
}
