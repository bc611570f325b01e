package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/place"
	"github.com/pomelosill/pomelosill/internal/work"
)

const (
	// quietLimit is the silence after which a runner gets no more work.
	quietLimit = 220 * time.Millisecond
	// silentLimit is the silence after which a connection is given up.
	silentLimit = 400 * time.Millisecond
)

// runner is one runner as the dispatcher knows it. It belongs to the
// dispatcher's lock.
type runner struct {
	node directory.Node
	// incarnation is that of the runner's process, empty before the first
	// connection.
	incarnation string
	state       *pb.RunnerState
	// out is the outbox of the present connection, nil while there is none.
	out *outbox.Outbox[*pb.DispatcherFrame]
	// inherited is set while the runs were ordered from an earlier process of
	// the runner, which may not have been stopped yet.
	inherited bool
	// heardAt is when the last frame came.
	heardAt time.Duration
	// echo is the runner's clock in its last heartbeat, echoedAt when that
	// was received: the runner's lease counts from then at the latest.
	echo     int64
	echoedAt time.Duration
	runs     map[work.Run]*task
	// stopping are runs of which a stop was asked, also of answered jobs.
	stopping map[work.Run]bool
	// pending are orders that the runner's state does not count yet.
	pending  map[uint64]work.Resources
	numbers  uint64
	revision uint64
	// connections counts the connections that were opened.
	connections atomic.Int64
}

func newRunner(n directory.Node) *runner {
	return &runner{
		node: n, runs: map[work.Run]*task{}, stopping: map[work.Run]bool{},
		pending: map[uint64]work.Resources{}, state: &pb.RunnerState{},
	}
}

// usable tells whether the runner may get work.
func (r *runner) usable(now time.Duration) bool {
	return r.out != nil && r.state.GetReady() && now-r.heardAt < quietLimit
}

// reserve takes room for an order until the runner's state counts it, and
// numbers it.
func (r *runner) reserve(need work.Resources) uint64 {
	r.numbers++
	r.pending[r.numbers] = need
	return r.numbers
}

func (r *runner) capacity() work.Resources {
	return work.Resources{
		CPU: int64(r.state.GetCapacityCpu()), MemoryMB: int64(r.state.GetCapacityMemory()), GPUs: int64(r.state.GetCapacityGpus()),
	}
}

// free is the room that is left, as far as the dispatcher knows.
func (r *runner) free() work.Resources {
	free := r.capacity().Minus(work.Resources{
		CPU: int64(r.state.GetUsedCpu()), MemoryMB: int64(r.state.GetUsedMemory()), GPUs: int64(r.state.GetUsedGpus()),
	})
	for _, need := range r.pending {
		free = free.Minus(need)
	}
	return free
}

const percent = 100.0

func (r *runner) speed() float64 { return float64(r.state.GetSpeedPercent()) / percent }

func (r *runner) endpoint() place.Endpoint {
	return place.Endpoint{
		Name: r.node.Name, Service: r.state.GetService(), Labels: r.state.GetLabels(),
		Free: r.free(), Capacity: r.capacity(), Speed: r.speed(), Healthy: r.state.GetHealthy(),
	}
}
