package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/store"
)

const (
	// directoryWatchTimeout, directoryTimeout and directoryPause are the follower's
	// times for the directory.
	directoryWatchTimeout    = 2 * time.Second
	directoryResponseTimeout = 500 * time.Millisecond
	directoryRetryDelay      = 150 * time.Millisecond
)

// newDirectoryWatcher returns a follower that keeps the book at what the store
// holds.
func newDirectoryWatcher(s store.Store, book *directory.Cache, log *zap.Logger) *prefixWatcher {
	return &prefixWatcher{
		store: s, log: log, prefix: directory.Prefix, subject: "directory",
		watchTimeout: directoryWatchTimeout, responseTimeout: directoryResponseTimeout, retryDelay: directoryRetryDelay,
		apply: func(c store.Changes, all bool) {
			for _, bad := range book.ApplyChanges(c, all, time.Now()) {
				log.Warn("directory: bad record", zap.Error(bad))
			}
		},
	}
}

// maintainConnections keeps a stream to every node of the book.
func (d *Dispatcher) maintainConnections(ctx context.Context) {
	dialled := map[directory.Node]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := d.directory.Changed()
		wanted := map[directory.Node]bool{}
		for _, n := range append(d.directory.Nodes(directory.Runner), d.directory.Nodes(directory.Dispatcher)...) {
			n.Revision = 0
			wanted[n] = true
			if _, found := dialled[n]; found || n.Name == d.settings.Name {
				continue
			}
			linkCtx, cancel := context.WithCancel(ctx)
			dialled[n] = cancel
			if n.Role == directory.Runner {
				go d.maintainRunnerConnection(linkCtx, n)
			} else {
				go d.maintainPeerStream(linkCtx, n)
			}
		}
		for n, cancel := range dialled {
			if !wanted[n] {
				cancel()
				delete(dialled, n)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
