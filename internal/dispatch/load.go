package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/placement"
)

// peerLoad is the last load received from another dispatcher.
type peerLoad struct {
	value      float64
	receivedAt time.Duration
}

// peerLoadTTL is how long a load is used after it was received.
const peerLoadTTL = 3 * gossipInterval

// loadShare returns this dispatcher's share of the work that arrives at all
// dispatchers. It is called with the lock held.
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

// ownLoad returns the load to be sent to other dispatchers.
func (d *Dispatcher) ownLoad() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.load.Value(clock.SinceBoot())
}

// recordPeerLoad records the load received from a peer.
func (d *Dispatcher) recordPeerLoad(peer string, load float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerLoads[peer] = peerLoad{value: load, receivedAt: clock.SinceBoot()}
}
