// Package agent implements the agent, a process that runs next to each
// endpoint. It attaches the endpoint to the entries, decides whether a task may
// start, keeps a record of each started task, runs the tasks on the endpoint
// over HTTP, and drains the endpoint on shutdown. Entries are the processes that
// accept jobs from callers and send their tasks to the agents.
package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
)

// expireInterval is the time between two passes that delete expired records.
const expireInterval = time.Second

// Agent runs the tasks of one endpoint.
type Agent struct {
	settings    Settings
	version     string
	incarnation string
	log         *zap.Logger
	http        *http.Client
	// startedAt is the time since boot at which the agent's clock started.
	startedAt time.Duration

	gate     *gate.Gate
	delivery *delivery
	runner   *taskRunner
	endpoint *endpointClient
	links    *links
	streams  streamSet
	counters *messageCounters
	metrics  *metrics
	debug    *process.Debug

	// streamCtx is done when the drain has ended; until then, streams stay
	// open.
	streamCtx     context.Context
	cancelStreams context.CancelFunc
	// drainWakeup holds a token after each change that a drain may wait for.
	drainWakeup chan struct{}
}

// New returns an agent. The settings must be valid. It returns an error if the
// metrics can't be set up.
func New(s Settings, version string, log *zap.Logger) (*Agent, error) {
	debug, err := process.NewDebug("pomelosill-agent")
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    s,
		version:     version,
		incarnation: uuid.NewString(),
		log:         process.WithLogPrefix(log, "agent"),
		http:        process.NewStreamClient(network.TCP),
		startedAt:   clock.SinceBoot(),
		endpoint:    newEndpointClient(s),
		counters:    &messageCounters{},
		debug:       debug,
		drainWakeup: make(chan struct{}, 1),
	}
	a.gate = gate.New(gateConfig(s, time.Now()))
	a.delivery = &delivery{gate: a.gate, onChange: a.wakeDrain}
	a.links = &links{
		attach:     a.attach,
		assignCell: a.gate.AssignCell,
		log:        process.WithLogPrefix(log, "link"),
		location:   &pb.Location{},
		cancels:    map[string]context.CancelFunc{},
	}
	a.streamCtx, a.cancelStreams = context.WithCancel(context.Background())
	a.metrics, err = newMetrics(debug.Meter, a.counters, func() int64 {
		return int64(a.gate.State(a.now()).Running)
	})
	if err != nil {
		return nil, err
	}
	a.runner = newTaskRunner(a)
	return a, nil
}

func gateConfig(s Settings, epoch time.Time) gate.Config {
	return gate.Config{
		Slots:           s.Slots,
		Freshness:       s.Freshness.Std(),
		RecordRetention: s.RecordRetention.Std(),
		BodyRetention:   s.BodyRetention.Std(),
		MaxHeldBytes:    s.MaxHeldBytes,
		MaxRecords:      s.MaxRecords,
		Epoch:           epoch,
	}
}

// now returns the time since the agent's start, including the time in which the
// host was suspended.
func (a *Agent) now() time.Duration { return clock.SinceBoot() - a.startedAt }

// wakeDrain wakes a drain that is waiting for a change.
func (a *Agent) wakeDrain() {
	select {
	case a.drainWakeup <- struct{}{}:
	default:
	}
}

func (a *Agent) dispatchClient(address string) pomelosillv1connect.DispatchServiceClient {
	return pomelosillv1connect.NewDispatchServiceClient(a.http, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil))
}

// Run serves until ctx is done and then drains: it starts no new tasks, and
// waits until the running ones have ended and their outcomes are delivered. Its
// error has the code AddressInUse if it can't listen on the debug address, and
// OutcomeUnknown if the drain timed out.
func (a *Agent) Run(ctx context.Context) error {
	stopDebug, err := a.serveDebug(ctx)
	if err != nil {
		return err
	}
	defer stopDebug()
	defer a.endpoint.close()
	defer a.http.CloseIdleConnections()
	var wg sync.WaitGroup
	wg.Go(func() { a.locateOwner(a.streamCtx) })
	wg.Go(func() { a.expireRecords(a.streamCtx) })
	a.log.Info("agent started", zap.String("endpoint", a.settings.Endpoint))
	<-ctx.Done()
	err = a.drain()
	a.cancelStreams()
	wg.Wait()
	a.links.wait()
	a.runner.stop()
	return err
}

// expireRecords deletes expired records until ctx is done.
func (a *Agent) expireRecords(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.gate.Expire(a.now())
		}
	}
}

// serveDebug serves the debug pages if the settings give an address for them.
func (a *Agent) serveDebug(ctx context.Context) (stop func(), err error) {
	if a.settings.Listen == "" {
		return func() {}, nil
	}
	listener, err := process.Listen(ctx, network.TCP, a.settings.Listen)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	a.debug.Mount(mux, func() any { return a.State() })
	server := process.NewServer(mux)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return func() {
		_ = server.Close()
		<-done
	}, nil
}
