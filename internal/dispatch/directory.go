package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/store"
)

const (
	// directoryWatchTimeout, directoryResponseTimeout and directoryRetryDelay
	// are the times of the directory's watcher.
	directoryWatchTimeout    = 2 * time.Second
	directoryResponseTimeout = 500 * time.Millisecond
	directoryRetryDelay      = 150 * time.Millisecond
)

// newDirectoryWatcher returns a watcher that keeps the directory equal to the
// records in the store.
func newDirectoryWatcher(s store.Store, cache *directory.Cache, log *zap.Logger) *prefixWatcher {
	return &prefixWatcher{
		store: s, log: log, prefix: directory.Prefix, subject: "directory",
		watchTimeout: directoryWatchTimeout, responseTimeout: directoryResponseTimeout, retryDelay: directoryRetryDelay,
		apply: func(c store.Changes, all bool) {
			for _, err := range cache.ApplyChanges(c, all, time.Now()) {
				log.Warn("directory: invalid record ignored", zap.Error(err))
			}
		},
	}
}

// maintainConnections keeps a connection to every node of the directory.
func (d *Dispatcher) maintainConnections(ctx context.Context) {
	connections := map[directory.Node]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := d.directory.Changed()
		wanted := map[directory.Node]bool{}
		for _, n := range append(d.directory.Nodes(directory.Runner), d.directory.Nodes(directory.Dispatcher)...) {
			n.Revision = 0
			wanted[n] = true
			if _, found := connections[n]; found || n.Name == d.settings.Name {
				continue
			}
			nodeCtx, cancel := context.WithCancel(ctx)
			connections[n] = cancel
			if n.Role == directory.Runner {
				go d.maintainRunnerConnection(nodeCtx, n)
			} else {
				go d.maintainPeerStream(nodeCtx, n)
			}
		}
		for n, cancel := range connections {
			if !wanted[n] {
				cancel()
				delete(connections, n)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
