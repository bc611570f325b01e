// Package runner implements the process that runs beside each endpoint of the
// platform. It receives the endpoint's heartbeats, renews the lease of the runs
// there and is the only process that starts runs at the endpoint. It alone
// decides whether there is capacity for a run, whether the policy allows it and
// whether a run has definitely ended.
package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/crash"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/operators"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/stream"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// checkInterval is the time between two checks of leases, queued orders and
// stalled runs.
const checkInterval = 50 * time.Millisecond

// Runner is one runner process.
type Runner struct {
	settings    *Settings
	log         *zap.Logger
	debug       *process.Debug
	counters    *counters
	policy      *policy.Holder
	operators   *operators.Reader
	network     network.Network
	incarnation string

	mu sync.Mutex
	// session is the current process of the endpoint, nil before its first
	// heartbeat.
	session     *session
	dispatchers map[string]*dispatcher
	// crashes holds the crashes of the endpoint's processes.
	crashes *crash.Log
	queue   []*order
	// started measures the recently started work by priority level.
	started  placement.StartedWork
	draining bool
	// lastState is the endpoint's state at the last periodic check, to detect
	// changes that only the passing of time causes.
	lastState *pb.RunnerState
	// lastAvailability is the availability when the state last changed.
	lastAvailability availability
	// fencingToken is the highest fencing token that has been used; a new
	// session uses a higher one. It is initially the runner's start time in
	// Unix milliseconds, which is normally above the tokens of its predecessor.
	fencingToken int64
	freshness    freshness
	// policyRequests decides when a dispatcher is asked for a newer policy.
	policyRequests policy.Requests
	// baseCtx ends with the process.
	baseCtx context.Context
}

// New returns a runner that uses the network n. The settings must be valid. It
// fails if the metrics can't be registered.
func New(n network.Network, s *Settings, log *zap.Logger) (*Runner, error) {
	debug, err := process.NewDebug("pomelosill-runner")
	if err != nil {
		return nil, err
	}
	startedAtMS := time.Now().UnixMilli()
	holder := policy.NewHolder()
	r := &Runner{
		settings:     s,
		log:          log,
		debug:        debug,
		policy:       holder,
		operators:    operators.NewReader(platform.NewStore(n, s.Store), holder, log),
		freshness:    freshness{readAge: drawReadAge(s.EvacuationTimeout.Std(), rand.Float64())},
		network:      n,
		incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		dispatchers:  map[string]*dispatcher{},
		crashes:      crash.NewLog(),
		fencingToken: startedAtMS,
	}
	r.counters, err = newCounters(debug.Meter)
	return r, err
}

// Run serves until ctx ends, and then waits for running tasks to end. It
// returns an error with the code AddressInUse if an address can't be bound.
func (r *Runner) Run(ctx context.Context) error {
	baseCtx, stop := context.WithCancel(context.Background())
	defer stop()
	r.baseCtx = baseCtx
	listener, err := process.Listen(ctx, r.network, r.settings.Link)
	if err != nil {
		return err
	}
	servers, err := r.serve(ctx)
	if err != nil {
		_ = listener.Close()
		return err
	}
	dispatcherServer := stream.Serve(listener, r.serveDispatcher, r.log)
	var wg sync.WaitGroup
	registrar := &directory.Registrar{
		Store: platform.NewStore(r.network, r.settings.Store), Log: r.log,
		Node: directory.Node{Name: r.settings.Name, Role: directory.Runner, Address: r.settings.address()},
	}
	wg.Go(func() { registrar.Run(baseCtx) })
	wg.Go(func() { r.checkLoop(baseCtx) })
	wg.Go(func() { r.confirmLoop(baseCtx) })
	r.log.Info("runner: started", zap.String("name", r.settings.Name), zap.String("incarnation", r.incarnation),
		zap.String("version", process.Version()))
	<-ctx.Done()
	r.drain()
	stop()
	process.CloseAll(servers)
	dispatcherServer.Close()
	wg.Wait()
	r.log.Info("runner: stopped", zap.String("name", r.settings.Name))
	return nil
}

// serve binds the HTTP addresses and serves them.
func (r *Runner) serve(ctx context.Context) ([]*http.Server, error) {
	heartbeatMux := http.NewServeMux()
	heartbeatMux.HandleFunc(platform.PatternHeartbeat, r.serveHeartbeat)
	heartbeatMux.HandleFunc(platform.PatternDeregister, r.serveDeregister)
	debugMux := http.NewServeMux()
	r.debug.Mount(debugMux, func() any { return r.State() })
	return process.ServeAll(ctx, r.network, []process.Binding{
		{Address: r.settings.Listen, Handler: heartbeatMux},
		{Address: r.settings.Metrics, Handler: debugMux},
	}, r.log)
}

// drainMargin is the part of the grace period that is reserved for closing
// connections.
const drainMargin = 400 * time.Millisecond

// drain stops starting runs and waits until no task runs, for at most the grace
// period.
func (r *Runner) drain() {
	r.mu.Lock()
	r.draining = true
	r.refuseQueued()
	r.markStateChanged()
	r.mu.Unlock()
	r.log.Info("runner: draining", zap.Int("running", r.runningCount()))
	end := time.Now().Add(r.settings.Grace.Std() - drainMargin)
	for r.runningCount() > 0 && time.Now().Before(end) {
		time.Sleep(checkInterval)
	}
	// Leave time for the last events to be sent to the dispatchers.
	time.Sleep(2 * checkInterval)
}

func (r *Runner) runningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == nil {
		return 0
	}
	return r.session.tracker.RunCount()
}

// checkLoop runs the periodic checks.
func (r *Runner) checkLoop(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) {
		r.mu.Lock()
		r.checkAll()
		r.mu.Unlock()
	}
}

// checkAll runs all checks that depend on the time, and sends the state to the
// dispatchers if it has changed. The caller holds r.mu.
func (r *Runner) checkAll() {
	now := clock.SinceBoot()
	r.checkDispatcherLeases(now)
	r.requestPolicy(now)
	r.startQueued(now)
	if s := r.session; s != nil {
		r.checkSpeed(s, now)
		r.checkStalled(s, now)
		r.stopUnknownRuns(s)
		r.checkEndpointLease(s, now)
	}
	if state := r.endpointState(); !proto.Equal(state, r.lastState) {
		r.lastState = state
		r.markStateChanged()
	}
}

// State is the runner's state dump.
type State struct {
	Name           string `json:"name"`
	Incarnation    string `json:"incarnation"`
	Draining       bool   `json:"leaving"`
	PolicyRevision uint64 `json:"policy_revision"`
	// PolicyTransfers counts the policies that other processes have sent.
	PolicyTransfers policy.Transfers `json:"policy_transfers"`
	// EndpointIncarnation is the incarnation of the runner's endpoint, empty
	// before its first heartbeat.
	EndpointIncarnation string             `json:"life"`
	Capacity            workload.Resources `json:"capacity"`
	Used                workload.Resources `json:"used"`
	Runs                int                `json:"runs"`
	// OverflowRuns is the number of Runs that are overflow runs. Slow is set while
	// the endpoint is suspended because it is slow, and takes overflow orders.
	OverflowRuns int  `json:"overflow_runs"`
	Slow         bool `json:"slow"`
	// QueuedOrders is the number of orders that wait for capacity.
	QueuedOrders int `json:"waiting"`
	// Levels describes the queue and the started work by priority level.
	Levels []LevelState `json:"levels"`
	Speed  float64      `json:"speed"`
	// RatedSpeed is the endpoint's usual speed, zero while it is unknown.
	RatedSpeed float64 `json:"rated_speed"`
	// Dispatchers lists the known dispatchers, as name and incarnation.
	Dispatchers []string `json:"links"`
}

// State returns the current state for the state dump.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := State{
		Name: r.settings.Name, Incarnation: r.incarnation, Draining: r.draining,
		PolicyRevision: r.policy.Revision(), PolicyTransfers: r.policy.Transfers(), QueuedOrders: len(r.queue), Levels: r.levelStates(),
	}
	for name, d := range r.dispatchers {
		out.Dispatchers = append(out.Dispatchers, fmt.Sprintf("%s/%s", name, d.incarnation))
	}
	if s := r.session; s != nil {
		out.EndpointIncarnation = s.endpoint.Incarnation()
		out.Capacity, out.Used = s.tracker.Capacity(), s.tracker.Used()
		out.Runs, out.Speed, out.RatedSpeed = s.tracker.RunCount(), s.tracker.Speed(), s.ratedSpeed()
		out.OverflowRuns, out.Slow = s.tracker.OverflowCount(), s.health.SuspendedAsSlow(clock.SinceBoot())
	}
	return out
}
