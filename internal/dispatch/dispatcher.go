// Package dispatch implements the dispatcher's role on the platform: it accepts
// callers' jobs, places their tasks at runners, and answers when they have
// ended.
//
// Every dispatcher places its own jobs, so there is no owner whose loss would
// block them. Only the runner decides what starts at its endpoint. It stops the
// runs of a dispatcher whose heartbeats no longer arrive, so that a job
// resubmitted through another dispatcher never runs twice at the same time.
package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/crash"
	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/estimate"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/handover"
	"github.com/pomelosill/pomelosill/internal/intake"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

// tickInterval is the time between two checks of open jobs and lost runners.
const tickInterval = handover.TickInterval

// Dispatcher is a dispatcher process.
type Dispatcher struct {
	settings  *Settings
	log       *zap.Logger
	debug     *process.Debug
	metrics   *metrics
	network   network.Network
	store     store.Store
	policy    *policy.Holder
	directory *directory.Cache
	// crashes holds the crashes of endpoints that this dispatcher knows.
	crashes     *crash.Log
	incarnation string
	// startedAt is when the process started to serve.
	startedAt time.Duration
	// shuttingDown is set from SIGTERM on. refusingJobs is set later, once the
	// load balancer has had time to send new connections elsewhere.
	shuttingDown atomic.Bool
	refusingJobs atomic.Bool

	mu   sync.Mutex
	jobs map[string]*job
	// waiting holds the jobs with tasks that are not placed yet.
	waiting map[string]*job
	runners map[string]*runner
	// load measures the work that arrived here recently.
	load placement.Load
	// started measures the work that was placed recently, by priority level.
	started placement.StartedWork
	// passes spaces the placement passes.
	passes passLimiter
	// usableViews holds the views of the endpoints that may get work, and
	// overflowViews those of the endpoints that may get overflow runs.
	usableViews, overflowViews endpointViews
	// suspension detects that the process was suspended.
	suspension suspension
	// askedAt is when all runners were last asked for a confirmation of the policy, zero
	// once there is a recent one.
	askedAt time.Duration
	// policyRequests decides when another process is asked for a newer policy, and
	// gossipStreams are the open streams to other dispatchers.
	policyRequests policy.Requests
	gossipStreams  map[*gossipStream]bool
	// contention is the state of admission by priority.
	contention contention
	// meanTaskDuration is the mean estimate of the tasks placed so far.
	meanTaskDuration time.Duration
	// estimates predicts the run times of tasks.
	estimates   *estimate.Model
	usualSpeeds usualSpeeds
	// handover is the state of forwarding jobs.
	handover handoverState
	// forwardClient holds the connections on which jobs are forwarded, and forwards
	// counts the calls.
	forwardClient *http.Client
	forwards      sync.WaitGroup
	// listing tells whether cancels at other dispatchers reach this one.
	listing *listing
	// cancelled holds the jobs that callers have cancelled recently.
	cancelled cancelMemory
	// peerCancels holds an element for each job for which other dispatchers are being asked
	// to cancel it.
	peerCancels chan struct{}
	// runCtx ends with the process.
	runCtx context.Context
	// InjectLateness, if set, replaces the measured lateness of ticks. Tests set it before
	// Run.
	InjectLateness func() time.Duration
}

// New returns a dispatcher with valid settings on a network. It fails only if
// metrics can't be set up.
func New(n network.Network, s *Settings, log *zap.Logger) (*Dispatcher, error) {
	debug, err := process.NewDebug("pomelosill-dispatcher")
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{
		settings:         s,
		log:              log,
		debug:            debug,
		network:          n,
		store:            platform.NewStore(n, s.Store),
		policy:           policy.NewHolder(),
		directory:        directory.NewCache(),
		crashes:          crash.NewLog(),
		incarnation:      strconv.FormatInt(time.Now().UnixNano(), 36),
		jobs:             map[string]*job{},
		waiting:          map[string]*job{},
		runners:          map[string]*runner{},
		gossipStreams:    map[*gossipStream]bool{},
		meanTaskDuration: initialMeanTaskDuration,
		contention:       newContention(),
		estimates:        estimate.New(),
		handover:         newHandoverState(s),
		forwardClient:    newForwardClient(n),
		peerCancels:      make(chan struct{}, maxPeerCancels),
		listing:          newListing(),
	}
	d.metrics, err = newMetrics(debug.Meter)
	return d, err
}

// Run serves until ctx ends, then finishes the admitted jobs. Its error has the
// code AddressInUse when an address can't be bound.
func (d *Dispatcher) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.Background())
	defer stop()
	d.runCtx, d.startedAt = base, clock.SinceBoot()
	process.LimitHeap(d.settings.memoryBytes())
	servers, err := d.serve(ctx)
	if err != nil {
		return err
	}
	registrar := &directory.Registrar{
		Store: d.store, Log: d.log,
		Node:    directory.Node{Name: d.settings.Name, Role: directory.Dispatcher, Address: d.settings.Peer},
		Written: d.listing.confirm,
	}
	var running sync.WaitGroup
	for _, run := range []func(context.Context){
		registrar.Run,
		newOperatorWatcher(d.store, d.policy, d.log).run,
		newDirectoryWatcher(d.store, d.directory, d.checkListing, d.log).run,
		d.maintainConnections,
		d.runTicks,
	} {
		running.Go(func() { run(base) })
	}
	d.log.Info("dispatcher: started", zap.String("name", d.settings.Name), zap.String("incarnation", d.incarnation),
		zap.String("version", process.Version()), zap.Int64("memory bytes", d.settings.memoryBytes()))
	<-ctx.Done()
	d.shutDown(servers)
	stop()
	process.CloseAll(servers)
	running.Wait()
	d.forwards.Wait()
	d.forwardClient.CloseIdleConnections()
	d.log.Info("dispatcher: stopped", zap.String("name", d.settings.Name))
	return nil
}

// serve binds the addresses and serves them.
func (d *Dispatcher) serve(ctx context.Context) ([]*http.Server, error) {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(platform.PatternReady, d.handleReadiness)
	peerMux := http.NewServeMux()
	peerMux.Handle(pomelosillv1connect.NewPeerServiceHandler(d, process.WithoutCompression(), connect.WithReadMaxBytes(maxPeerMessageBytes)))
	debugMux := http.NewServeMux()
	d.debug.Mount(debugMux, func() any { return d.State() })
	return process.ServeAll(ctx, d.network, []process.Binding{
		{
			Address: d.settings.Listen, Handler: intake.Handler(http.HandlerFunc(d.handleCaller), platform.HeaderDeadline),
			ConnContext: intake.ConnContext, Limiter: intake.NewLimiter(intake.LimitsOf(d.settings.memoryBytes()), d.log),
		},
		{Address: d.settings.Ready, Handler: readyMux},
		{Address: d.settings.Peer, Handler: peerMux, PingTimeout: senderPingTimeout},
		{Address: d.settings.Metrics, Handler: debugMux},
	}, d.log)
}

// handleReadiness tells the load balancer whether to send new connections here.
func (d *Dispatcher) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.isReady(clock.SinceBoot()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Dispatcher) isReady(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.shuttingDown.Load() && d.listing.confirmed() && d.policy.Current() != nil && d.hasUsableRunner(now) && !d.handover.readiness.Unready(now)
}

// hasUsableRunner is called with the lock held.
func (d *Dispatcher) hasUsableRunner(now time.Duration) bool {
	for _, r := range d.runners {
		if r.usable(now) {
			return true
		}
	}
	return false
}

// State is the dispatcher's state dump.
type State struct {
	Name           string `json:"name"`
	Incarnation    string `json:"incarnation"`
	PolicyRevision uint64 `json:"policy_revision"`
	// PolicyTransfers counts the policies that other processes have sent.
	PolicyTransfers policy.Transfers `json:"policy_transfers"`
	Jobs            int              `json:"jobs"`
	// OverflowJobs is the number of open jobs that were admitted as overflow.
	OverflowJobs int `json:"overflow_jobs"`
	// ContainedRoutes are the routes whose jobs run contained.
	ContainedRoutes []string      `json:"contained_routes"`
	Runners         []RunnerState `json:"runners"`
	// Levels describes the priority levels in use.
	Levels []LevelState `json:"levels"`
	// HeavyCallers are the callers that are refused first under contention, empty if
	// all routes have the same priority.
	HeavyCallers []admission.CallerDemand `json:"heavy_callers,omitempty"`
	// Estimates is what is known about the run times of each route.
	Estimates []estimate.RouteState `json:"estimates"`
	// Handover describes the forwarding of jobs between dispatchers.
	Handover HandoverState `json:"handover"`
}

// RunnerState describes one runner in the state dump.
type RunnerState struct {
	Name string `json:"name"`
	// EndpointIncarnation is the incarnation of the runner's endpoint.
	EndpointIncarnation string `json:"life"`
	Usable              bool   `json:"usable"`
	// TakesOverflow is set while the endpoint is not usable because it is slow, and
	// takes overflow runs.
	TakesOverflow bool  `json:"takes_overflow"`
	FreeMilliCPU  int64 `json:"free_cpu"`
	// Speed is what placement uses; it follows from the other two.
	Speed         float64 `json:"speed"`
	MeasuredSpeed float64 `json:"measured_speed"`
	RatedSpeed    float64 `json:"rated_speed"`
	Runs          int     `json:"runs"`
}

// State returns the current state for the state dump.
func (d *Dispatcher) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.SinceBoot()
	out := State{Name: d.settings.Name, Incarnation: d.incarnation, PolicyRevision: d.policy.Revision(), PolicyTransfers: d.policy.Transfers(), Jobs: len(d.jobs),
		ContainedRoutes: d.crashes.ContainedRoutes(now), Levels: d.levelStates(now), Estimates: d.estimates.State()}
	out.OverflowJobs, out.Handover = d.openOverflowJobs(), d.handoverStateDump(now)
	for _, r := range d.runners {
		out.Runners = append(out.Runners, RunnerState{
			Name: r.node.Name, EndpointIncarnation: r.state.GetLife(), Usable: r.usable(now), TakesOverflow: r.takesOverflow(now),
			FreeMilliCPU: r.free().MilliCPU, Speed: r.speed(), MeasuredSpeed: r.measuredSpeed(), RatedSpeed: r.ratedSpeed(), Runs: len(r.runs),
		})
	}
	if d.byPriority() {
		out.HeavyCallers = d.contention.callers.Over(d.population(now), now)
	}
	return out
}

const (
	// drainDelay is how long a dispatcher that shuts down admits jobs as usual:
	// the load balancer needs time to send new connections elsewhere.
	drainDelay = 3 * time.Second
	// shutdownMargin is the part of the grace period that is reserved for
	// closing connections.
	shutdownMargin = 300 * time.Millisecond
)

// shutDown reports that the dispatcher isn't ready, admits jobs for the drain
// delay, then refuses new ones and waits for the admitted ones.
func (d *Dispatcher) shutDown(servers []*http.Server) {
	startedAt := time.Now()
	d.shuttingDown.Store(true)
	d.log.Info("dispatcher: shutting down", zap.Int("jobs", d.openJobCount()))
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	delay := min(drainDelay, d.settings.Grace.Std()/2)
	time.Sleep(delay)
	d.refusingJobs.Store(true)
	for d.openJobCount() > 0 && time.Since(startedAt) < d.settings.Grace.Std()-shutdownMargin {
		time.Sleep(tickInterval)
	}
	// Leave time to send the last answers.
	time.Sleep(2 * tickInterval)
}

// openJobCount counts the jobs that are not answered, including forwarded ones.
func (d *Dispatcher) openJobCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs) + len(d.handover.forwarded)
}
