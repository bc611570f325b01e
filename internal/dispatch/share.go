package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/placement"
)

// peerLoad is the load that another dispatcher named last.
type peerLoad struct {
	value      float64
	receivedAt time.Duration
}

// peerLoadTTL is how long a dispatcher's load counts after it was named.
const peerLoadTTL = 3 * gossipInterval

// loadShare is this dispatcher's part of the work that comes to all of them. It
// is called with the lock held.
func (d *Dispatcher) loadShare(now time.Duration) float64 {
	var others []float64
	for name, p := range d.peerLoads {
		if now-p.receivedAt > peerLoadTTL {
			delete(d.peerLoads, name)
			continue
		}
		others = append(others, p.value)
	}
	unknown := max(0, d.directory.Count(directory.Dispatcher)-1-len(others))
	return placement.Share(d.load.Value(now), others, unknown)
}

// ownLoad is the load that gossip names.
func (d *Dispatcher) ownLoad() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.load.Value(clock.SinceBoot())
}

// recordPeerLoad takes over the load that a peer names.
func (d *Dispatcher) recordPeerLoad(peer string, load float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerLoads[peer] = peerLoad{value: load, receivedAt: clock.SinceBoot()}
}
