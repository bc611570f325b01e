package dispatch

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
)

// loadShare returns this dispatcher's share of the work that arrives for its
// runners. The other dispatchers' part is known from the runners: each
// dispatcher tells every runner that it is linked to an equal part of its load.
// It is called with the lock held.
func (d *Dispatcher) loadShare(now time.Duration) float64 {
	var others float64
	for _, r := range d.runners {
		if load := r.state.GetOtherLoad(); r.usable(now) && placement.ValidLoad(load) {
			others += load
		}
	}
	return placement.Share(d.load.Value(now), others)
}

// linkLoad returns the part of the load that counts for each linked runner. It
// is called with the lock held.
func (d *Dispatcher) linkLoad(now time.Duration) float64 {
	return d.load.Value(now) / float64(max(1, len(d.runners)))
}

// addDemand adds to a heartbeat the part of the admitted work and of the callers that
// counts for each connected runner. A runner that is lost doesn't tell its part to the
// other dispatchers, so it gets none. It is called with the lock held.
func (d *Dispatcher) addDemand(b *pb.DispatcherBeat, now time.Duration) {
	if !d.byPriority() {
		return
	}
	part := 1 / float64(max(1, d.fleetSums(now).connected))
	b.LinkDemandByPriority = d.contention.demand.Rate(now).Times(part).Encode()
	b.LinkCallers = float64(d.contention.callers.Count(now)) * part
}
