// Command pomelosill-dispatcher takes callers' jobs and places their tasks.
package main

import (
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/dispatch"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
)

func main() {
	s := dispatch.DefaultSettings()
	service := process.Service{
		Name:  "pomelosill-dispatcher",
		Usage: "take callers' jobs and place their tasks",
		Description: "Runs on the entry hosts of the platform. SIGTERM finishes the jobs in\n" +
			"progress, SIGHUP checks the settings file.",
		Example:  "deploy/dispatcher.jsonc",
		Settings: &s,
		Start:    func(log *zap.Logger) (process.Runnable, error) { return dispatch.New(network.TCP, &s, log) },
	}
	process.Main(service.Command())
}
