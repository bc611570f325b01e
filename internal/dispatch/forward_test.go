package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

// starve makes a dispatcher forward all jobs to a peer at the address.
func (d *Dispatcher) starve(address string) {
	d.handover.enabled = true
	d.ForwardAll()
	d.updatePeers([]directory.Node{{Name: "d-0"}, {Name: "d-1", Role: directory.Dispatcher, Address: address}})
	for range 50 {
		d.handover.controller.Tick(time.Second, 0)
	}
}

// peerStandIn is another dispatcher's side of the RPC.
type peerStandIn struct {
	pomelosillv1connect.UnimplementedPeerServiceHandler
	submit func(context.Context, *pb.SubmitRequest) (*pb.SubmitReply, error)
}

func (p *peerStandIn) Submit(ctx context.Context, r *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.SubmitReply], error) {
	reply, err := p.submit(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(reply), nil
}

// servePeer serves a handler as a dispatcher does, and returns its address.
func servePeer(t *testing.T, h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	s.Config = process.NewServer(h)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func standIn(t *testing.T, submit func(context.Context, *pb.SubmitRequest) (*pb.SubmitReply, error)) string {
	mux := http.NewServeMux()
	mux.Handle(pomelosillv1connect.NewPeerServiceHandler(&peerStandIn{submit: submit}, process.WithoutCompression()))
	return servePeer(t, mux)
}

func replyWith(reply *pb.SubmitReply) func(context.Context, *pb.SubmitRequest) (*pb.SubmitReply, error) {
	return func(context.Context, *pb.SubmitRequest) (*pb.SubmitReply, error) { return reply, nil }
}

const forwardedBody = `{"best_effort":true,"steps":[{"count":2,"cpu":1000,"estimated_ms":200}]}`

// newSubmission returns the submission of a caller that waits for a while.
func newSubmission(t *testing.T, d *Dispatcher, wait time.Duration) *submission {
	s := &submission{caller: "192.0.2.1", path: "/p/0000000000000001", body: []byte(forwardedBody), deadline: clock.SinceBoot() + wait}
	must.NoError(t, s.match(d.policy.Current()))
	must.NoError(t, s.decode())
	return s
}

// A job that may have run at the peer must be answered as such and not be started here. A
// job that certainly has not must be admitted here.
func TestOutcomesOfForwardedJobs(t *testing.T) {
	code := func(c result.Code) *uint32 { return proto.Uint32(uint32(c)) }
	abort := func(context.Context, *pb.SubmitRequest) (*pb.SubmitReply, error) { panic(http.ErrAbortHandler) }
	silent := func(ctx context.Context, _ *pb.SubmitRequest) (*pb.SubmitReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	stillRunning := &platform.Answer{Code: result.StillRunning}
	for name, c := range map[string]struct {
		address string
		// want is nil if the job is to be admitted here.
		want *platform.Answer
	}{
		"completed":         {standIn(t, replyWith(&pb.SubmitReply{Code: code(result.OK)})), &platform.Answer{}},
		"failed":            {standIn(t, replyWith(&pb.SubmitReply{Code: code(result.OK), Failed: true})), &platform.Answer{Failed: true}},
		"refused":           {standIn(t, replyWith(&pb.SubmitReply{Code: code(result.Overloaded), RetryAfterUs: 2e6})), &platform.Answer{Code: result.Overloaded, RetryAfter: 2 * time.Second}},
		"declined":          {standIn(t, replyWith(&pb.SubmitReply{Declined: true})), nil},
		"older version":     {servePeer(t, http.NewServeMux()), nil},
		"unreachable":       {strings.TrimPrefix(closed.URL, "http://"), nil},
		"broken connection": {standIn(t, abort), stillRunning},
		"no answer":         {standIn(t, silent), stillRunning},
		"empty reply":       {standIn(t, replyWith(&pb.SubmitReply{})), stillRunning},
		"declined answer":   {standIn(t, replyWith(&pb.SubmitReply{Declined: true, Code: code(result.OK)})), stillRunning},
		"unknown code":      {standIn(t, replyWith(&pb.SubmitReply{Code: proto.Uint32(1 << 31)})), stillRunning},
		"absurd delay":      {standIn(t, replyWith(&pb.SubmitReply{Code: code(result.Overloaded), RetryAfterUs: 1 << 62})), &platform.Answer{Code: result.Overloaded, RetryAfter: time.Minute}},
	} {
		t.Run(name, func(t *testing.T) {
			d, r := newServingDispatcher(t)
			d.starve(c.address)
			j, f, err := d.submit(newSubmission(t, d, 2*time.Second), clock.SinceBoot())
			must.NoError(t, err)
			must.Nil(t, j)
			<-f.ended
			d.forwards.Wait()
			must.MapLen(t, 0, d.handover.forwarded)
			if c.want == nil {
				must.NoError(t, f.err)
				must.NotNil(t, f.local)
				must.MapLen(t, 1, d.jobs)
				must.Eq(t, -1, d.handover.peers.Choose(d.handover.names, clock.SinceBoot(), func(int) int { return 0 }), must.Sprint("the peer is not excluded"))
				return
			}
			must.Eq(t, *c.want, f.answer)
			must.Nil(t, f.local)
			must.MapLen(t, 0, d.jobs)
			must.MapLen(t, 0, r.runs)
		})
	}
}

// The peer must get the request as the caller sent it.
func TestForwardedRequestIsComplete(t *testing.T) {
	got := make(chan *pb.SubmitRequest, 1)
	d, _ := newServingDispatcher(t)
	d.starve(standIn(t, func(_ context.Context, m *pb.SubmitRequest) (*pb.SubmitReply, error) {
		got <- m
		return &pb.SubmitReply{Declined: true, LagUs: 1234, Load: 5}, nil
	}))
	_, f, err := d.submit(newSubmission(t, d, time.Minute), clock.SinceBoot())
	must.NoError(t, err)
	<-f.ended
	m := <-got
	must.Between(t, 1, m.GetWaitUs(), time.Minute.Microseconds())
	m.WaitUs = 0
	want := &pb.SubmitRequest{Dispatcher: "d-0", PolicyRevision: 1, Path: "/p/0000000000000001", Body: []byte(forwardedBody), Caller: "192.0.2.1"}
	must.True(t, proto.Equal(want, m), must.Sprint(m))
	known := d.State().Handover.Peers
	must.Len(t, 1, known)
	must.Eq(t, HandoverPeer{Name: "d-1", LagMS: 1.234, Load: 5, AgeMS: known[0].AgeMS}, known[0])
}

// Without the setting, or with enough CPU time, no job is forwarded however late ticks
// are.
func TestForwardingNeedsASmallShareOfCPUTime(t *testing.T) {
	for cores, want := range map[float64]bool{0: false, 0.19: true, 0.25: false, 4: false} {
		d, _ := newServingDispatcher(t)
		d.starve("a:1")
		d.handover.enabled = (&Settings{ProcessorCores: cores}).forwards()
		now := clock.SinceBoot()
		_, chosen := d.choosePeer(newJob(d.estimates, newSubmission(t, d, time.Second).spec, &d.policy.Current().Config.Routes[0], now, now+time.Hour), now)
		must.Eq(t, want, chosen, must.Sprint(cores))
	}
}

// A job whose caller stops waiting before a peer can answer must be admitted here.
// Forwarded, it would be answered as one that may have run.
func TestJobsOfImpatientCallersAreNotForwarded(t *testing.T) {
	for wait, want := range map[time.Duration]bool{5 * time.Millisecond: false, time.Second: true} {
		d, _ := newServingDispatcher(t)
		d.starve("a:1")
		now := clock.SinceBoot()
		_, chosen := d.choosePeer(newJob(d.estimates, newSubmission(t, d, wait).spec, &d.policy.Current().Config.Routes[0], now, now+wait), now)
		must.Eq(t, want, chosen, must.Sprint(wait))
	}
}

// newAcceptingDispatcher returns a dispatcher with an idle runner.
func newAcceptingDispatcher(t testing.TB) *Dispatcher {
	d, r := newServingDispatcher(t)
	d.onFrame(r, r.outbox, &pb.RunnerFrame{State: &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100}})
	return d
}

// A dispatcher that can't serve a forwarded job must decline it before it has any effect.
func TestForwardedJobsAreDeclined(t *testing.T) {
	for name, change := range map[string]func(*Dispatcher, *pb.SubmitRequest){
		"starved":       func(d *Dispatcher, _ *pb.SubmitRequest) { d.starve("a:1") },
		"shutting down": func(d *Dispatcher, _ *pb.SubmitRequest) { d.shuttingDown.Store(true) },
		"not ready":     func(d *Dispatcher, _ *pb.SubmitRequest) { d.runners["r-0"].state.Ready = false },
		"older policy":  func(_ *Dispatcher, m *pb.SubmitRequest) { m.PolicyRevision = 2 },
		"too many":      func(d *Dispatcher, _ *pb.SubmitRequest) { d.handover.received["d-1"] = maxReceivedPerSender },
		"forwarded from here": func(d *Dispatcher, _ *pb.SubmitRequest) {
			d.handover.forwarded["0000000000000001"] = &forwardedJob{}
		},
	} {
		d := newAcceptingDispatcher(t)
		m := &pb.SubmitRequest{Dispatcher: "d-1", PolicyRevision: 1, Path: "/p/0000000000000001", Body: []byte(forwardedBody), WaitUs: 1e6}
		change(d, m)
		before := d.handover.received["d-1"]
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		response, err := d.Submit(ctx, connect.NewRequest(m))
		cancel()
		must.NoError(t, err, must.Sprint(name))
		must.True(t, response.Msg.GetDeclined(), must.Sprint(name))
		must.MapLen(t, 0, d.jobs, must.Sprint(name))
		must.Eq(t, before, d.handover.received["d-1"], must.Sprint(name))
	}
}

// Operators must find the metrics under the names that docs/OPERATIONS.md lists.
func TestHandoverMetrics(t *testing.T) {
	d, _ := newServingDispatcher(t)
	d.starve(standIn(t, replyWith(&pb.SubmitReply{Code: proto.Uint32(0)})))
	d.recordTick(time.Millisecond, clock.SinceBoot())
	_, f, err := d.submit(newSubmission(t, d, time.Minute), clock.SinceBoot())
	must.NoError(t, err)
	<-f.ended
	accepting := newAcceptingDispatcher(t)
	must.True(t, accepting.acceptForwarded(&pb.SubmitRequest{}, clock.SinceBoot()))
	must.StrContains(t, metricsOf(d), "dispatcher_handovers_total{outcome=\"answered\"} 1\n")
	must.StrContains(t, metricsOf(d), "\ndispatcher_lag_seconds 0.")
	must.StrContains(t, metricsOf(accepting), "\ndispatcher_handed_over_jobs 1\n")
}

// metricsOf returns the metrics page.
func metricsOf(d *Dispatcher) string {
	mux := http.NewServeMux()
	d.debug.Mount(mux, func() any { return nil })
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// FuzzSubmit serves forwarded jobs with arbitrary content. None may end the process or
// leave a job behind after the connection of its sender has closed.
func FuzzSubmit(f *testing.F) {
	addSeeds(f,
		&pb.SubmitRequest{},
		&pb.SubmitRequest{Path: "/p/0000000000000001", Body: []byte(forwardedBody), WaitUs: 1<<63 - 1},
		&pb.SubmitRequest{Path: "/p/0000000000000001", Body: []byte("{"), WaitUs: 1},
		&pb.SubmitRequest{Path: "/p/", Body: []byte(forwardedBody), WaitUs: -1},
		&pb.SubmitRequest{Dispatcher: "d-1", Path: "/p/0000000000000001", Body: make([]byte, defaultMaxBodyBytes+1), WaitUs: 1},
		&pb.SubmitRequest{Dispatcher: "d-1", Path: "/x", WaitUs: 1},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &pb.SubmitRequest{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		d := newAcceptingDispatcher(t)
		ctx, disconnect := context.WithCancel(t.Context())
		disconnect()
		response, err := d.Submit(ctx, connect.NewRequest(m))
		if err == nil && !response.Msg.GetDeclined() {
			must.NotEq(t, uint32(result.OK), response.Msg.GetCode())
		}
		must.MapLen(t, 0, d.jobs)
		must.MapLen(t, 0, d.handover.received)
	})
}
