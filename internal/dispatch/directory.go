package dispatch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
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
// records in the store, and calls changed after each response.
func newDirectoryWatcher(s store.Store, cache *directory.Cache, changed func(), log *zap.Logger) *prefixWatcher {
	return &prefixWatcher{
		store: s, log: log, prefix: directory.Prefix, subject: "directory",
		watchTimeout: directoryWatchTimeout, responseTimeout: directoryResponseTimeout, retryDelay: directoryRetryDelay,
		apply: func(c store.Changes, all bool) {
			for _, err := range cache.ApplyChanges(c, all, time.Now()) {
				log.Warn("directory: invalid record ignored", zap.Error(err))
			}
			changed()
		},
	}
}

// listedDispatchers returns all dispatchers whose records are in the store, also those that no
// watch has told of yet: a dispatcher takes jobs only once the others can find it there. The
// error means that some may be missing.
func (d *Dispatcher) listedDispatchers(ctx context.Context) ([]directory.Node, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelCallTimeout)
	defer cancel()
	known := d.directory.Registered(directory.Dispatcher)
	c, err := d.store.Watch(ctx, directory.DispatcherPrefix, 0, 0)
	if err != nil {
		return known, err
	}
	listed := directory.NewCache()
	listed.ApplyChanges(c, true, time.Now())
	for _, n := range listed.Registered(directory.Dispatcher) {
		if !slices.ContainsFunc(known, func(k directory.Node) bool { return k.Name == n.Name && k.Address == n.Address }) {
			known = append(known, n)
		}
	}
	return known, nil
}

// unlinkCheckInterval is the time between two checks whether the runners that
// are no longer assigned to the dispatcher have finished its runs.
const unlinkCheckInterval = 200 * time.Millisecond

// minUpdateInterval is the minimum time between two choices of the connections,
// so that many hosts that come together cause few of them.
const minUpdateInterval = 20 * time.Millisecond

// maintainConnections keeps a connection to every runner that the directory
// assigns to this dispatcher, and a stream to its peers. A runner that is no
// longer assigned gets no more work, and its connection is kept until the runs
// there have ended.
func (d *Dispatcher) maintainConnections(ctx context.Context) {
	connections := map[directory.Node]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := d.directory.Changed()
		var recheck <-chan time.Time
		if !d.updateConnections(ctx, connections, d.newWantedConnections()) {
			recheck = time.After(unlinkCheckInterval)
		}
		clock.Sleep(ctx, minUpdateInterval)
		select {
		case <-changed:
		case <-recheck:
		case <-ctx.Done():
		}
	}
}

// wantedConnections are the connections that the directory asks of a dispatcher.
// The nodes don't have the revisions of their records.
type wantedConnections struct {
	runners []directory.Node
	peers   []directory.Node
	// dispatchers are all that the directory knows.
	dispatchers []directory.Node
}

func (d *Dispatcher) newWantedConnections() *wantedConnections {
	dispatchers := d.directory.Nodes(directory.Dispatcher)
	w := &wantedConnections{
		runners: directory.RunnersOf(d.settings.Name, dispatchers, d.directory.Nodes(directory.Runner)),
		peers:   directory.PeersOf(d.settings.Name, dispatchers), dispatchers: dispatchers,
	}
	for i := range w.runners {
		w.runners[i].Revision = 0
	}
	for i := range w.peers {
		w.peers[i].Revision = 0
	}
	return w
}

// updateConnections closes the connections that aren't wanted and opens those that are. It
// reports false if connections remain that it can't close yet. That to a runner's former
// address is closed before the one to its next address is opened.
func (d *Dispatcher) updateConnections(ctx context.Context, connections map[directory.Node]context.CancelFunc, w *wantedConnections) bool {
	d.updatePeers(w.dispatchers)
	wanted := map[directory.Node]bool{}
	for _, n := range w.runners {
		wanted[n] = true
		d.link(n)
	}
	for _, n := range w.peers {
		wanted[n] = true
	}
	complete := true
	for n, cancel := range connections {
		if wanted[n] {
			continue
		}
		if n.Role == directory.Runner && !d.unlink(n) {
			complete = false
			continue
		}
		cancel()
		delete(connections, n)
	}
	for n := range wanted {
		if connections[n] == nil {
			connections[n] = d.startConnection(ctx, n)
		}
	}
	return complete
}

// startConnection keeps a connection to the node until the returned function is
// called. A runner must be linked.
func (d *Dispatcher) startConnection(ctx context.Context, n directory.Node) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	if n.Role == directory.Runner {
		go d.maintainRunnerConnection(ctx, n)
	} else {
		go d.maintainPeerStream(ctx, n)
	}
	return cancel
}

// link makes a runner that is assigned to this dispatcher available for work, and
// returns its state.
func (d *Dispatcher) link(n directory.Node) *runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runners[n.Name]
	if r == nil {
		r = newRunner(n)
		d.runners[n.Name] = r
	}
	r.node, r.unlinked = n, false
	return r
}

// unlink stops placing work at a runner that is no longer assigned to this
// dispatcher, and reports whether its connection can be closed: no run is left
// there, or the runner is linked at another address.
func (d *Dispatcher) unlink(n directory.Node) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.runners[n.Name]
	if r == nil || r.node != n {
		return true
	}
	r.unlinked = true
	if len(r.runs) > 0 {
		return false
	}
	delete(d.runners, n.Name)
	return true
}
