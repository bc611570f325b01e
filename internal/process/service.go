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

// Service is a program that runs until SIGTERM and checks its settings file on
// SIGHUP.
type Service struct {
	Name        string
	Usage       string
	Description string
	// Example is the documented settings file that the help text refers to.
	Example string
	// Settings holds the defaults, which the settings file overwrites.
	Settings ServiceSettings
	// Start creates the service from the settings that were read.
	Start func(log *zap.Logger) (Runnable, error)
}

// ServiceSettings are settings that include the log level.
type ServiceSettings interface {
	settings.Settings
	Level() string
}

// Runnable serves until ctx is done.
type Runnable interface {
	Run(ctx context.Context) error
}

// Command returns the command line of the service.
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

// checkOnHangup checks the settings file at each SIGHUP. Changes take effect at
// the next start, because a process keeps its addresses and names as long as it
// runs.
func checkOnHangup(path string, current settings.Settings, hup <-chan os.Signal, done <-chan struct{}, log *zap.Logger) {
	for {
		select {
		case <-done:
			return
		case <-hup:
			if err := settings.CheckFile(path, current); err != nil {
				log.Warn("settings: changed file is invalid, keeping the current settings", zap.Error(err))
				continue
			}
			log.Info("settings: changed file is valid, it takes effect at the next start")
		}
	}
}
