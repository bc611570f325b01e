// Command pomelosill-runner is the process beside each endpoint of the
// platform.
package main

import (
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/runner"
)

func main() {
	s := runner.DefaultSettings()
	service := process.Service{
		Name:  "pomelosill-runner",
		Usage: "start tasks at one endpoint and renew its lease",
		Description: "Runs beside one endpoint of the platform. SIGTERM starts nothing more\n" +
			"and lets running tasks end, SIGHUP checks the settings file.",
		Example:  "deploy/runner.jsonc",
		Settings: &s,
		Start:    func(log *zap.Logger) (process.Runnable, error) { return runner.New(network.TCP, &s, log) },
	}
	process.Main(service.Command())
}
