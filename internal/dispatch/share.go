package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/place"
)

// peerLoad is the load that another dispatcher named last.
type peerLoad struct {
	value float64
	at    time.Duration
}

// loadFresh is how long a dispatcher's load counts after it was named.
const loadFresh = 3 * gossipEvery

// share is this dispatcher's part of the work that comes to all of them. It
// is called with the lock held.
func (d *Dispatcher) share(now time.Duration) float64 {
	var others []float64
	for name, p := range d.peers {
		if now-p.at > loadFresh {
			delete(d.peers, name)
			continue
		}
		others = append(others, p.value)
	}
	unknown := max(0, d.book.Count(directory.Dispatcher)-1-len(others))
	return place.Share(d.load.Value(now), others, unknown)
}

// ownLoad is the load that gossip names.
func (d *Dispatcher) ownLoad() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.load.Value(clock.Boot())
}

// takeLoad takes over the load that a peer names.
func (d *Dispatcher) takeLoad(peer string, load float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[peer] = peerLoad{value: load, at: clock.Boot()}
}
