package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	// directoryWait is how long a watch of the directory waits.
	directoryWait = 2 * time.Second
	// directoryTimeout is the time for the answer beside directoryWait.
	directoryTimeout = 500 * time.Millisecond
	// directoryPause is the pause after a call that failed.
	directoryPause = 150 * time.Millisecond
)

// followDirectory keeps the book at what the store holds.
func (d *Dispatcher) followDirectory(ctx context.Context) {
	var at uint64
	out := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, directoryWait+directoryTimeout)
		c, err := d.store.Watch(callCtx, directory.Prefix, at, directoryWait)
		cancel()
		if err != nil {
			if result.CodeOf(err) == result.StoreCompacted {
				at = 0
			}
			if !out {
				d.log.Warn("directory: can't be read", zap.Error(err))
			}
			out = true
			clock.Sleep(ctx, directoryPause)
			continue
		}
		if out {
			d.log.Info("directory: read again", zap.Uint64("revision", c.Revision))
		}
		out = false
		for _, bad := range d.book.Apply(c, at == 0, time.Now()) {
			d.log.Warn("directory: bad record", zap.Error(bad))
		}
		if at == 0 || len(c.Entries)+len(c.Deleted) > 0 {
			at = c.Revision
		}
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
