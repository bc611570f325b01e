// Package entry implements the entry process. An entry accepts callers'
// submissions and relays them to the owners of their cells, owns cells itself,
// and serves agents, other entries and operators. Its controllers communicate
// through a shared control state instead of calling each other.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/access"
	"github.com/pomelosill/pomelosill/internal/admin"
	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// cellTickInterval is how often cells check their deadlines and timeouts.
const cellTickInterval = 20 * time.Millisecond

var (
	errNoDocument   = errors.New("this entry has not read a control document yet")
	errAgentTimeout = errors.New("the agent sent nothing within the freshness limit")
	// errAgentReplaced ends the stream of a process whose successor is attached.
	errAgentReplaced = errors.New("a later process of the agent is attached")
)

// Entry is one entry process.
type Entry struct {
	id         string
	settings   *Settings
	log        *zap.Logger
	debug      *process.Debug
	client     *http.Client
	control    *controlState
	storeSync  *storeSync
	writer     *documentWriter
	peers      *peers
	membership *membership
	agents     *agentRegistry
	confirmer  *answerConfirmer
	relay      *submissionRelay
	counters   *counters
	metrics    *metrics
	store      *store.HTTP
	guard      *access.Guard
	admin      *admin.Handler
	// closing is set near the end of a shutdown to refuse new submissions.
	closing atomic.Bool
	// baseCtx ends with the entry. Work for a job uses it because the job must
	// outlive its caller's request.
	baseCtx   context.Context
	ownership *ownership
	startedAt time.Time
}

// counters counts messages by kind since the entry started.
type counters struct {
	jobsReceived       atomic.Int64
	answersSent        atomic.Int64
	relaysSent         atomic.Int64
	relaysReceived     atomic.Int64
	lateAnswers        atomic.Int64
	heartbeatsReceived atomic.Int64
	stampsSent         atomic.Int64
}

// New returns an entry. It starts nothing; Run does.
func New(s *Settings, log *zap.Logger, debug *process.Debug) *Entry {
	e := &Entry{
		id:        uuid.NewString(),
		settings:  s,
		log:       process.WithLogPrefix(log, "entry"),
		debug:     debug,
		client:    process.NewStreamClient(network.TCP),
		counters:  &counters{},
		startedAt: time.Now(),
	}
	logger := func(name string) *zap.Logger { return process.WithLogPrefix(log, name) }
	e.store = store.NewHTTP(s.StoreURL, nil, store.WithClientID(s.Peer))
	e.control = newControlState(e.id)
	e.storeSync = &storeSync{
		store: e.store, control: e.control, confirmInterval: s.ConfirmInterval.Std(), timeout: s.StoreTimeout.Std(),
		log: logger("store"), readNow: make(chan struct{}, 1),
	}
	e.writer = &documentWriter{store: e.store, control: e.control, storeSync: e.storeSync, timeout: s.StoreTimeout.Std()}
	e.peers = newPeers(e.control, e.client, s.SuspectAfter.Std()/(maxMissedExchanges+1), s.ConfirmInterval.Std(), logger("peers"))
	e.membership = &membership{
		store: e.store, control: e.control, writer: e.writer, peers: e.peers, settings: s, log: logger("membership"),
		member: control.Member{ID: e.id, Address: s.Peer, FailureDomain: s.FailureDomain},
	}
	e.agents = &agentRegistry{
		control: e.control, freshness: s.Freshness.Std(), log: logger("agents"), counters: e.counters,
		limits:    agentLimits{maxFreshness: s.Freshness.Std(), minRetention: s.IDRetention.Std()},
		localCell: func(n uint32) *cell.Cell { return e.ownership.Cell(n) }, streams: map[string]*agentStream{},
	}
	e.ownership = &ownership{
		store: e.store, control: e.control, peers: e.peers, writer: e.writer, agents: e.agents,
		settings: s, log: logger("ownership"), cells: map[uint32]*ownedCell{}, opening: map[uint32]bool{}, lostTo: map[uint32]string{},
	}
	e.confirmer = newAnswerConfirmer(e.control, e.peers.RequestExchange, 2*s.Freshness.Std())
	e.confirmer.localCell = e.ownership.Cell
	e.relay = newSubmissionRelay(e.control, e.client, e.confirmer, e.counters, logger("relay"))
	e.relay.localCell = e.ownership.Cell
	e.guard = access.NewGuard(s.Tokens, log)
	e.admin = admin.NewHandler(admin.Options{Backend: e, Guard: e.guard, Log: log, Now: time.Now})
	return e
}

// Run serves until ctx ends, then shuts down gracefully: it hands over its cells,
// answers the callers' requests in progress, and leaves the roster. Its error
// has the code AddressInUse if an address cannot be bound.
func (e *Entry) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.Background())
	defer stop()
	e.baseCtx = base
	var err error
	if e.metrics, err = newMetrics(e.debug.Meter, e); err != nil {
		return err
	}
	listeners, err := e.listen(ctx)
	if err != nil {
		return err
	}
	servers := e.servers()
	failed := make(chan error, len(servers))
	for i, s := range servers {
		go func() { failed <- s.Serve(listeners[i]) }()
	}
	var running sync.WaitGroup
	for _, run := range e.controllers() {
		running.Go(func() { run(base) })
	}
	e.log.Info("serving", zap.String("id", e.id), zap.String("listen", e.settings.Listen),
		zap.String("peer", e.settings.Peer), zap.String("admin", e.settings.Admin))
	select {
	case err = <-failed:
	case <-ctx.Done():
		e.shutDown(servers)
	}
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	running.Wait()
	return err
}

func (e *Entry) controllers() []func(context.Context) {
	return []func(context.Context){
		e.storeSync.runConfirm,
		e.storeSync.runWatch,
		e.peers.run,
		e.membership.run,
		e.ownership.runTakeovers,
		e.ownership.runReconcile,
		e.ownership.runAgentLists,
		e.confirmer.run,
		e.relay.run,
		e.tickCells,
		e.broadcastServiceState,
	}
}

func (e *Entry) listen(ctx context.Context) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range []string{e.settings.Listen, e.settings.Peer, e.settings.Admin} {
		l, err := process.Listen(ctx, network.TCP, addr)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// servers returns the servers for callers, for agents and other entries, and for
// operators, in the order of listen's listeners.
func (e *Entry) servers() []*http.Server {
	peer := http.NewServeMux()
	peer.Handle(pomelosillv1connect.NewDispatchServiceHandler(e, process.WithoutCompression()))
	operators := http.NewServeMux()
	operators.Handle("/v1/", e.admin)
	debugPages := http.NewServeMux()
	e.debug.Mount(debugPages, func() any { return e.State() })
	operators.Handle("/debug/", e.guard.RequireOperator(debugPages, writeRefusal))
	operators.Handle("/", debugPages)
	return []*http.Server{
		process.NewServer(e.callerHandler()),
		process.NewServer(peer),
		process.NewServer(operators),
	}
}

func (e *Entry) tickCells(ctx context.Context) {
	runTicks(ctx, cellTickInterval, func(now time.Time, pause time.Duration) {
		for _, c := range e.ownership.Cells() {
			if pause > 0 {
				c.ExcludePause(pause, now)
			}
			c.Tick(now)
		}
	})
}

// minPause is the shortest time without ticks that counts as a pause of the
// process. Agents need up to a second to attach again.
const minPause = time.Second

// runTicks calls step with the current time at each interval until ctx ends, and
// with the length of the pause of the process before it, if there was one. It does
// not use the time in the tick, which is when the tick was due: after a pause,
// permissions that have expired meanwhile would still seem valid at that time.
func runTicks(ctx context.Context, interval time.Duration, step func(now time.Time, pause time.Duration)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		pause := now.Sub(last) - interval
		if pause < minPause {
			pause = 0
		}
		last = now
		step(now, pause)
	}
}

// broadcastServiceState sends the agents their service state whenever the
// document changes.
func (e *Entry) broadcastServiceState(ctx context.Context) {
	revision := uint64(0)
	for {
		changed := e.control.DocumentChanged()
		if d := e.control.Document(); d != nil && d.Revision > revision {
			revision = d.Revision
			e.agents.SendServiceState(d)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func asResult(err error) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
