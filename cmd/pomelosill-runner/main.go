// Command pomelosill-runner runs next to an endpoint of the platform and starts
// its tasks.
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
		Description: "Runs next to one endpoint of the platform. After SIGTERM it starts no more\n" +
			"tasks, waits for running ones and exits. SIGHUP checks the settings file.",
		Example:  "deploy/runner.jsonc",
		Settings: &s,
		Start:    func(log *zap.Logger) (process.Runnable, error) { return runner.New(network.TCP, &s, log) },
	}
	process.Main(service.Command())
}
