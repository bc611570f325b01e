package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/store"
)

const (
	// directoryWait, directoryTimeout and directoryPause are the follower's
	// times for the directory.
	directoryWait    = 2 * time.Second
	directoryTimeout = 500 * time.Millisecond
	directoryPause   = 150 * time.Millisecond
)

// followDirectory returns a follower that keeps the book at what the store
// holds.
func followDirectory(s store.Store, book *directory.Book, log *zap.Logger) *follower {
	return &follower{
		store: s, log: log, prefix: directory.Prefix, what: "directory",
		wait: directoryWait, timeout: directoryTimeout, pause: directoryPause,
		apply: func(c store.Changes, all bool) {
			for _, bad := range book.Apply(c, all, time.Now()) {
				log.Warn("directory: bad record", zap.Error(bad))
			}
		},
	}
}

// dialAll keeps a stream to every node of the book.
func (d *Dispatcher) dialAll(ctx context.Context) {
	dialled := map[directory.Node]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := d.book.Changed()
		wanted := map[directory.Node]bool{}
		for _, n := range append(d.book.Nodes(directory.Runner), d.book.Nodes(directory.Dispatcher)...) {
			n.Revision = 0
			wanted[n] = true
			if _, found := dialled[n]; found || n.Name == d.settings.Name {
				continue
			}
			linkCtx, cancel := context.WithCancel(ctx)
			dialled[n] = cancel
			if n.Role == directory.Runner {
				go d.linkRunner(linkCtx, n)
			} else {
				go d.linkPeer(linkCtx, n)
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
