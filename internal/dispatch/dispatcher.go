// Package dispatch is the dispatcher's role on the platform: it takes callers'
// jobs, places their tasks at runners, and answers when they have ended.
//
// Every dispatcher places its own jobs; there is no owner that could be lost.
// A runner alone decides what starts at its endpoint, and stops the runs of a
// dispatcher that it no longer hears, so that a job sent again through another
// dispatcher never runs twice at once.
package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

// tickInterval is how often waiting jobs and silent links are looked at.
const tickInterval = 20 * time.Millisecond

// Dispatcher is one dispatcher process.
type Dispatcher struct {
	settings    *Settings
	log         *zap.Logger
	debug       *process.Debug
	metrics     *metrics
	network     network.Network
	store       store.Store
	policy      *policy.Holder
	directory   *directory.Cache
	incarnation string
	// shuttingDown is set from SIGTERM on, refusing near the end.
	shuttingDown atomic.Bool
	refusingJobs atomic.Bool

	mu   sync.Mutex
	jobs map[string]*job
	// waiting are the jobs with tasks that look for room.
	waiting map[string]*job
	runners map[string]*runner
	// load is the work that has come lately, peers that of other dispatchers.
	load      placement.Load
	peerLoads map[string]peerLoad
	// meanTaskDuration is the mean duration of the tasks that were placed.
	meanTaskDuration time.Duration
	// runCtx ends with the process.
	runCtx context.Context
}

// New returns a dispatcher on a network, with valid settings. Its error is that of setting
// up metrics.
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
		incarnation:      strconv.FormatInt(time.Now().UnixNano(), 36),
		jobs:             map[string]*job{},
		waiting:          map[string]*job{},
		runners:          map[string]*runner{},
		peerLoads:        map[string]peerLoad{},
		meanTaskDuration: initialMeanTaskDuration,
	}
	d.metrics, err = newMetrics(debug.Meter)
	return d, err
}

// Run serves until ctx ends, then finishes what it has taken in. Its error
// has the code AddressInUse when an address can't be bound.
func (d *Dispatcher) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.Background())
	defer stop()
	d.runCtx = base
	servers, err := d.serve(ctx)
	if err != nil {
		return err
	}
	registrar := &directory.Registrar{
		Store: d.store, Log: d.log,
		Node: directory.Node{Name: d.settings.Name, Role: directory.Dispatcher, Address: d.settings.Peer},
	}
	var running sync.WaitGroup
	for _, run := range []func(context.Context){
		registrar.Run,
		newOperatorWatcher(d.store, d.policy, d.log).run,
		newDirectoryWatcher(d.store, d.directory, d.log).run,
		d.maintainConnections,
		d.runTicks,
	} {
		running.Go(func() { run(base) })
	}
	d.log.Info("dispatcher: started", zap.String("name", d.settings.Name), zap.String("incarnation", d.incarnation),
		zap.String("version", process.Version()))
	<-ctx.Done()
	d.shutDown(servers)
	stop()
	process.CloseAll(servers)
	running.Wait()
	d.log.Info("dispatcher: stopped", zap.String("name", d.settings.Name))
	return nil
}

// serve binds the addresses and serves them.
func (d *Dispatcher) serve(ctx context.Context) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc(platform.PatternReady, d.handleReadiness)
	streams := http.NewServeMux()
	streams.Handle(pomelosillv1connect.NewPeerServiceHandler(d, process.WithoutCompression()))
	pages := http.NewServeMux()
	d.debug.Mount(pages, func() any { return d.State() })
	return process.ServeAll(ctx, d.network, []process.Binding{
		{Address: d.settings.Listen, Handler: http.HandlerFunc(d.handleCaller)},
		{Address: d.settings.Ready, Handler: ready},
		{Address: d.settings.Peer, Handler: streams},
		{Address: d.settings.Metrics, Handler: pages},
	}, d.log)
}

// handleReadiness tells the balancer whether new connections should come here.
func (d *Dispatcher) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.shuttingDown.Load() || d.policy.Current() == nil || !d.hasUsableRunner() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Dispatcher) hasUsableRunner() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.SinceBoot()
	for _, r := range d.runners {
		if r.usable(now) {
			return true
		}
	}
	return false
}

// State is the dispatcher's state dump.
type State struct {
	Name           string        `json:"name"`
	Incarnation    string        `json:"incarnation"`
	PolicyRevision uint64        `json:"policy_revision"`
	Jobs           int           `json:"jobs"`
	Runners        []RunnerState `json:"runners"`
}

// RunnerState is what the dispatcher knows of one runner.
type RunnerState struct {
	Name         string  `json:"name"`
	Incarnation  string  `json:"life"`
	Usable       bool    `json:"usable"`
	FreeMilliCPU int64   `json:"free_cpu"`
	Speed        float64 `json:"speed"`
	Runs         int     `json:"runs"`
}

// State returns the present state for the state dump.
func (d *Dispatcher) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.SinceBoot()
	out := State{Name: d.settings.Name, Incarnation: d.incarnation, PolicyRevision: d.policy.Revision(), Jobs: len(d.jobs)}
	for _, r := range d.runners {
		out.Runners = append(out.Runners, RunnerState{
			Name: r.node.Name, Incarnation: r.state.GetLife(), Usable: r.usable(now),
			FreeMilliCPU: r.free().MilliCPU, Speed: r.speed(), Runs: len(r.runs),
		})
	}
	return out
}

const (
	// drainDelay is how long a shutting down dispatcher takes requests as
	// usual: the balancer needs some time to send new connections elsewhere.
	drainDelay = 3 * time.Second
	// shutdownMargin is the part of the grace that is left for the end itself.
	shutdownMargin = 300 * time.Millisecond
)

// shutDown lets the balancer know, goes on serving for a while, and waits for
// the jobs that were taken in.
func (d *Dispatcher) shutDown(servers []*http.Server) {
	began := time.Now()
	d.shuttingDown.Store(true)
	d.log.Info("dispatcher: shutting down", zap.Int("jobs", d.openJobCount()))
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	quiet := min(drainDelay, d.settings.Grace.Std()/2)
	time.Sleep(quiet)
	d.refusingJobs.Store(true)
	for d.openJobCount() > 0 && time.Since(began) < d.settings.Grace.Std()-shutdownMargin {
		time.Sleep(tickInterval)
	}
	// The last answers still have to leave.
	time.Sleep(2 * tickInterval)
}

func (d *Dispatcher) openJobCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs)
}
