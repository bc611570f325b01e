// Package runner is the process beside each endpoint on the platform. It
// takes the endpoint's heartbeats, renews the lease of what runs there, and
// is the only one that orders starts: it alone decides whether there is room,
// whether the policy allows a start, and what has surely ended.
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
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/stream"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// checkInterval is how often leases, waiting orders and stalled runs are looked at.
const checkInterval = 25 * time.Millisecond

// Runner is one runner process.
type Runner struct {
	settings    *Settings
	log         *zap.Logger
	debug       *process.Debug
	counters    *counters
	policy      *policy.Holder
	network     network.Network
	incarnation string

	mu sync.Mutex
	// session is the current life of the endpoint, nil before its first
	// heartbeat.
	session     *session
	dispatchers map[string]*dispatcher
	queue       []*order
	draining    bool
	// lastState is the endpoint's state at the last check of what time changes.
	lastState *pb.RunnerState
	// fencingToken is the fencing token of the next session.
	fencingToken int64
	// policyPushDelay is how long a dispatcher's policy has to be older than the
	// runner's until the runner sends its own.
	policyPushDelay time.Duration
	// baseCtx ends with the process.
	baseCtx context.Context
}

// New returns a runner on a network, with valid settings. Its error is that of setting up
// metrics.
func New(n network.Network, s *Settings, log *zap.Logger) (*Runner, error) {
	debug, err := process.NewDebug("pomelosill-runner")
	if err != nil {
		return nil, err
	}
	started := time.Now().UnixMilli()
	r := &Runner{
		settings:        s,
		log:             log,
		debug:           debug,
		policy:          policy.NewHolder(),
		network:         n,
		incarnation:     strconv.FormatInt(time.Now().UnixNano(), 36),
		dispatchers:     map[string]*dispatcher{},
		fencingToken:    started,
		policyPushDelay: minPolicyPushDelay + rand.N(maxPolicyPushDelay-minPolicyPushDelay),
	}
	r.counters, err = newCounters(debug.Meter)
	return r, err
}

// Run serves until ctx ends, then lets running tasks end. Its error has the
// code AddressInUse when an address can't be bound.
func (r *Runner) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.Background())
	defer stop()
	r.baseCtx = base
	links, err := process.Listen(ctx, r.network, r.settings.Link)
	if err != nil {
		return err
	}
	servers, err := r.serve(ctx)
	if err != nil {
		_ = links.Close()
		return err
	}
	linkServer := stream.Serve(links, r.serveDispatcher, r.log)
	var running sync.WaitGroup
	registrar := &directory.Registrar{
		Store: platform.NewStore(r.network, r.settings.Store), Log: r.log,
		Node: directory.Node{Name: r.settings.Name, Role: directory.Runner, Address: r.settings.address()},
	}
	running.Go(func() { registrar.Run(base) })
	running.Go(func() { r.checkLoop(base) })
	r.log.Info("runner: started", zap.String("name", r.settings.Name), zap.String("incarnation", r.incarnation),
		zap.String("version", process.Version()))
	<-ctx.Done()
	r.drain()
	stop()
	process.CloseAll(servers)
	linkServer.Close()
	running.Wait()
	r.log.Info("runner: stopped", zap.String("name", r.settings.Name))
	return nil
}

// serve binds the addresses and serves them.
func (r *Runner) serve(ctx context.Context) ([]*http.Server, error) {
	heartbeats := http.NewServeMux()
	heartbeats.HandleFunc(platform.PatternHeartbeat, r.serveHeartbeat)
	heartbeats.HandleFunc(platform.PatternDeregister, r.serveDeregister)
	pages := http.NewServeMux()
	r.debug.Mount(pages, func() any { return r.State() })
	return process.ServeAll(ctx, r.network, []process.Binding{
		{Address: r.settings.Listen, Handler: heartbeats},
		{Address: r.settings.Metrics, Handler: pages},
	}, r.log)
}

// drainMargin is the part of the grace that is left for the end itself.
const drainMargin = 400 * time.Millisecond

// drain starts nothing more and waits until nothing runs, for as long as the
// grace allows.
func (r *Runner) drain() {
	r.mu.Lock()
	r.draining = true
	r.refuseQueued()
	r.markStateChanged()
	r.mu.Unlock()
	r.log.Info("runner: leaving", zap.Int("running", r.runningCount()))
	end := time.Now().Add(r.settings.Grace.Std() - drainMargin)
	for r.runningCount() > 0 && time.Now().Before(end) {
		time.Sleep(checkInterval)
	}
	// The last events still have to reach the dispatchers.
	time.Sleep(2 * checkInterval)
}

func (r *Runner) runningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == nil {
		return 0
	}
	return r.session.account.RunCount()
}

// checkLoop looks at everything that time changes.
func (r *Runner) checkLoop(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) {
		r.mu.Lock()
		r.checkAll()
		r.mu.Unlock()
	}
}

// checkAll looks at everything that time changes, and publishes the state if
// that has changed it. It is called with the lock held.
func (r *Runner) checkAll() {
	now := clock.SinceBoot()
	for _, l := range r.dispatchers {
		r.checkDispatcherLease(l, now)
	}
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
	Name           string             `json:"name"`
	Incarnation    string             `json:"incarnation"`
	Draining       bool               `json:"leaving"`
	PolicyRevision uint64             `json:"policy_revision"`
	Life           string             `json:"life"`
	Capacity       workload.Resources `json:"capacity"`
	Used           workload.Resources `json:"used"`
	Runs           int                `json:"runs"`
	Waiting        int                `json:"waiting"`
	Speed          float64            `json:"speed"`
	Dispatchers    []string           `json:"links"`
}

// State returns the present state for the state dump.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := State{
		Name: r.settings.Name, Incarnation: r.incarnation, Draining: r.draining,
		PolicyRevision: r.policy.Revision(), Waiting: len(r.queue),
	}
	for name, l := range r.dispatchers {
		out.Dispatchers = append(out.Dispatchers, fmt.Sprintf("%s/%s", name, l.incarnation))
	}
	if s := r.session; s != nil {
		out.Life = s.endpoint.Incarnation()
		out.Capacity, out.Used = s.account.Capacity(), s.account.Used()
		out.Runs, out.Speed = s.account.RunCount(), s.account.Speed()
	}
	return out
}
