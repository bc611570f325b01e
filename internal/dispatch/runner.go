package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/workload"
)

const (
	// placementTimeout is the silence after which a runner gets no more work.
	placementTimeout = 220 * time.Millisecond
	// connectionTimeout is the silence after which a connection is given up.
	connectionTimeout = 400 * time.Millisecond
)

// runner is one runner as the dispatcher knows it. It belongs to the
// dispatcher's lock.
type runner struct {
	node directory.Node
	// incarnation is that of the runner's process, empty before the first
	// connection.
	incarnation string
	state       *pb.RunnerState
	// outbox is the outbox of the present connection, nil while there is none.
	outbox *outbox.Outbox[*pb.DispatcherFrame]
	// hasInheritedRuns is set while the runs were ordered from an earlier process of
	// the runner, which may not have been stopped yet.
	hasInheritedRuns bool
	// lastFrameAt is when the last frame came.
	lastFrameAt time.Duration
	// heartbeatSentNs is the runner's clock in its last heartbeat, echoedAt when that
	// was received: the runner's lease counts from then at the latest.
	heartbeatSentNs     int64
	heartbeatReceivedAt time.Duration
	runs                map[workload.RunID]*task
	// stopping are runs of which a stop was asked, also of answered jobs.
	stopping map[workload.RunID]bool
	// unaccounted are orders that the runner's state does not count yet.
	unaccounted     map[uint64]workload.Resources
	lastOrderNumber uint64
	policyRevision  uint64
	// connectionCount counts the connections that were opened.
	connectionCount atomic.Int64
}

func newRunner(n directory.Node) *runner {
	return &runner{
		node: n, runs: map[workload.RunID]*task{}, stopping: map[workload.RunID]bool{},
		unaccounted: map[uint64]workload.Resources{}, state: &pb.RunnerState{},
	}
}

// usable tells whether the runner may get work.
func (r *runner) usable(now time.Duration) bool {
	return r.outbox != nil && r.state.GetReady() && now-r.lastFrameAt < placementTimeout
}

// reserve takes room for an order until the runner's state counts it, and
// numbers it.
func (r *runner) reserve(need workload.Resources) uint64 {
	r.lastOrderNumber++
	r.unaccounted[r.lastOrderNumber] = need
	return r.lastOrderNumber
}

func (r *runner) capacity() workload.Resources {
	return workload.Resources{
		MilliCPU: int64(r.state.GetCapacityCpu()), MemoryMB: int64(r.state.GetCapacityMemory()), GPUs: int64(r.state.GetCapacityGpus()),
	}
}

// free is the room that is left, as far as the dispatcher knows.
func (r *runner) free() workload.Resources {
	free := r.capacity().Minus(workload.Resources{
		MilliCPU: int64(r.state.GetUsedCpu()), MemoryMB: int64(r.state.GetUsedMemory()), GPUs: int64(r.state.GetUsedGpus()),
	})
	for _, need := range r.unaccounted {
		free = free.Minus(need)
	}
	return free
}

const percent = 100.0

func (r *runner) speed() float64 { return float64(r.state.GetSpeedPercent()) / percent }

func (r *runner) endpoint() placement.Endpoint {
	return placement.Endpoint{
		Name: r.node.Name, Service: r.state.GetService(), Labels: r.state.GetLabels(),
		Free: r.free(), Capacity: r.capacity(), Speed: r.speed(), Healthy: r.state.GetHealthy(),
	}
}
