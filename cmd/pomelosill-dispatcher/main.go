// Command pomelosill-dispatcher accepts callers' jobs and assigns their tasks to
// endpoints.
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
		Usage: "accept callers' jobs and assign their tasks to endpoints",
		Description: "Runs on the entry hosts of the platform. After SIGTERM it finishes the\n" +
			"jobs in progress and exits. SIGHUP checks the settings file.",
		Example:  "deploy/dispatcher.jsonc",
		Settings: &s,
		Start:    func(log *zap.Logger) (process.Runnable, error) { return dispatch.New(network.TCP, &s, log) },
	}
	process.Main(service.Command())
}
