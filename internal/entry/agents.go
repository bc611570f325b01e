package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
)

// agentRegistry holds the streams of all attached agents, including agents
// whose cell another entry owns: if this entry takes that cell over, it can
// fence them immediately.
type agentRegistry struct {
	control   *controlState
	localCell func(n uint32) *cell.Cell
	// freshness is how long after the last confirmation of the entry's ownership
	// its agents may start work.
	freshness time.Duration
	limits    agentLimits
	log       *zap.Logger
	counters  *counters

	mu      sync.Mutex
	streams map[string]*agentStream
}

// agentStream is the stream to one agent. It implements cell.Link.
type agentStream struct {
	hello *pb.Hello
	out   *outbox.Outbox[*pb.OwnerFrame]
	// detached is guarded by agentRegistry.mu.
	detached bool
}

func (st *agentStream) Start(s *pb.Start) { st.out.Put(&pb.OwnerFrame{Starts: []*pb.Start{s}}) }

func (st *agentStream) Cancel(r *pb.TaskRef) { st.out.Put(&pb.OwnerFrame{Cancels: []*pb.TaskRef{r}}) }

func (st *agentStream) Fence(f *pb.Fence) { st.out.Put(&pb.OwnerFrame{Fence: f}) }

// AttachAll attaches to a new local cell those of its agents that already have a
// stream.
func (a *agentRegistry) AttachAll(c *cell.Cell) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, st := range a.streams {
		if st.hello.GetCell() == c.Number() {
			c.Attach(st.hello, st, time.Now())
		}
	}
}

// agentLimits bounds the settings with which an agent may attach.
type agentLimits struct {
	// maxFreshness is how long a takeover waits until no agent can start work
	// under a stamp of the previous owner.
	maxFreshness time.Duration
	// minRetention is the maximum age of an id at its submission. An agent
	// must remember a start at least that long.
	minRetention time.Duration
}

// validate rejects an agent that could still start work for the previous owner
// when a takeover ends its wait, or that could forget a start while its id may
// still be submitted. Its errors have the codes Malformed and SettingsValue.
func (l agentLimits) validate(h *pb.Hello) error {
	switch {
	case h.GetEndpoint() == "" || h.GetIncarnation() == "":
		return result.Errorf(result.Malformed, "the first frame must be a hello with endpoint and incarnation")
	case time.Duration(h.GetFreshnessNs()) > l.maxFreshness:
		return result.Errorf(result.SettingsValue, "freshness: the agent's %s exceeds the entry's freshness of %s",
			time.Duration(h.GetFreshnessNs()), l.maxFreshness)
	case time.Duration(h.GetRecordRetentionNs()) < l.minRetention:
		return result.Errorf(result.SettingsValue, "record_retention: the agent's %s is below the entry's id_retention of %s",
			time.Duration(h.GetRecordRetentionNs()), l.minRetention)
	}
	return nil
}

// Attach serves the stream of one agent.
func (e *Entry) Attach(ctx context.Context, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) error {
	return e.agents.serve(ctx, s)
}

func (a *agentRegistry) serve(ctx context.Context, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) error {
	first, err := s.Receive()
	if err != nil {
		return err
	}
	if err := a.limits.validate(first.GetHello()); err != nil {
		a.log.Warn("agent rejected", zap.String("endpoint", first.GetHello().GetEndpoint()), zap.Error(err))
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	d := a.control.Document()
	if d == nil {
		return connect.NewError(connect.CodeUnavailable, errNoDocument)
	}
	st := &agentStream{hello: first.GetHello(), out: outbox.New[*pb.OwnerFrame]()}
	st.hello.Cell = uint32(control.CellOfEndpoint(st.hello.GetEndpoint(), len(d.Cells)))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !a.attach(st) {
		a.log.Warn("agent rejected", zap.String("endpoint", st.hello.GetEndpoint()), zap.Error(errAgentReplaced))
		return connect.NewError(connect.CodeFailedPrecondition, errAgentReplaced)
	}
	defer a.detach(st)
	go a.sendLocationUpdates(ctx, st)
	a.handleFrame(st, first)
	limit := a.freshness
	timer := time.AfterFunc(limit, func() { a.disconnectSilent(st, cancel) })
	defer timer.Stop()
	go func() {
		cancel(a.readFrames(st, s, func() { timer.Reset(limit) }))
		a.detach(st)
	}()
	// Send only from the handler: a send after the handler has returned panics.
	writeFrames(ctx, st.out, s)
	return context.Cause(ctx)
}

// disconnectSilent ends the stream of an agent of a local cell that has sent
// nothing for the freshness limit, so that a hung agent gets no more work.
// Agents of other cells are exempt because they rarely send.
func (a *agentRegistry) disconnectSilent(st *agentStream, cancel context.CancelCauseFunc) {
	if a.localCell(st.hello.GetCell()) == nil {
		return
	}
	cancel(errAgentTimeout)
	a.detach(st)
}

// readFrames handles frames until the stream ends, and calls onFrame for each.
func (a *agentRegistry) readFrames(st *agentStream, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame], onFrame func()) error {
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		onFrame()
		a.handleFrame(st, f)
	}
}

// attach registers a stream and attaches it to the agent's cell if this entry owns
// the cell. It returns false if a later process of the agent is attached there.
func (a *agentRegistry) attach(st *agentStream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.localCell(st.hello.GetCell()); c != nil && !c.Attach(st.hello, st, time.Now()) {
		return false
	}
	if old := a.streams[st.hello.GetEndpoint()]; old != nil {
		old.out.Close()
	}
	a.streams[st.hello.GetEndpoint()] = st
	a.log.Info("agent attached", zap.String("endpoint", st.hello.GetEndpoint()))
	return true
}

func (a *agentRegistry) detach(st *agentStream) {
	st.out.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	name := st.hello.GetEndpoint()
	if st.detached {
		return
	}
	st.detached = true
	if a.streams[name] == st {
		delete(a.streams, name)
	}
	if c := a.localCell(st.hello.GetCell()); c != nil {
		c.Detach(name, st, time.Now())
	}
	a.log.Info("agent detached", zap.String("endpoint", name))
}

func (a *agentRegistry) handleFrame(st *agentStream, f *pb.AgentFrame) {
	now := time.Now()
	name := st.hello.GetEndpoint()
	c := a.localCell(st.hello.GetCell())
	if c != nil && f.GetFenceAck() != nil {
		c.HandleFenceAck(name, st, f.GetFenceAck(), now)
	}
	if c != nil && len(f.GetOutcomes()) > 0 {
		c.HandleOutcomes(name, st, f.GetOutcomes(), now)
	}
	if h := f.GetHeartbeat(); h != nil {
		a.counters.heartbeatsReceived.Add(1)
		a.answerHeartbeat(st, c, h, now)
	}
}

// answerHeartbeat sends the stamp for a heartbeat. The stamp permits starts only
// if the confirmed document itself names this entry as the cell's owner and the
// confirmation is fresh. Otherwise its generation is zero and it only echoes
// the heartbeat's time.
func (a *agentRegistry) answerHeartbeat(st *agentStream, c *cell.Cell, h *pb.Heartbeat, now time.Time) {
	s := &pb.Stamp{EchoNs: h.GetSentNs(), Cell: st.hello.GetCell()}
	d, confirmedAt := a.control.ConfirmedDocument(now)
	age := max(0, now.Sub(confirmedAt))
	s.ControlRevision = d.Revision
	s.InService = d.Config.InService(st.hello.GetEndpoint(), st.hello.GetFailureDomain())
	fresh := c != nil && isOwner(d, a.control.self, c.Number(), c.Generation()) && age < a.freshness
	if fresh {
		s.AgeNs = int64(age)
		s.Generation = c.Generation()
	}
	st.out.Put(&pb.OwnerFrame{Stamp: s})
	a.counters.stampsSent.Add(1)
	if c == nil {
		return
	}
	c.HandleHeartbeat(st.hello.GetEndpoint(), st, h, now)
	if fresh {
		c.MarkStamped(st.hello.GetEndpoint(), st, now)
	}
}

// expiredStampAge is the age given to a stamp that only contains the service
// state. It must exceed every freshness limit, so that the stamp permits no start.
const expiredStampAge = time.Hour

// SendServiceState sends every agent of the local cells its service state in a
// new document immediately, instead of with the answer to its next heartbeat.
// The agents reply with a heartbeat that contains the revision.
func (a *agentRegistry) SendServiceState(d *control.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, st := range a.streams {
		c := a.localCell(st.hello.GetCell())
		if c == nil {
			continue
		}
		st.out.Put(&pb.OwnerFrame{Stamp: &pb.Stamp{
			Cell:            st.hello.GetCell(),
			Generation:      c.Generation(),
			ControlRevision: d.Revision,
			InService:       d.Config.InService(st.hello.GetEndpoint(), st.hello.GetFailureDomain()),
			AgeNs:           int64(expiredStampAge),
		}})
	}
}

// writeFrames sends queued frames until ctx ends or the stream breaks. It merges
// what is queued and does not wait for more.
func writeFrames(ctx context.Context, out *outbox.Outbox[*pb.OwnerFrame], s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) {
	for {
		frames, ok := out.TakeAll(ctx)
		if !ok {
			return
		}
		for _, f := range mergeFrames(frames) {
			if s.Send(f) != nil {
				return
			}
		}
	}
}

// mergeFrames merges the starts and cancels of consecutive frames and keeps
// their order. A frame with a fence, a stamp or a location begins a new merged
// frame, so that starts never overtake the stamp that was sent before them.
func mergeFrames(frames []*pb.OwnerFrame) []*pb.OwnerFrame {
	merged := []*pb.OwnerFrame{}
	var last *pb.OwnerFrame
	for _, f := range frames {
		mergeable := f.Stamp == nil && f.Fence == nil && f.Location == nil
		if last == nil || !mergeable {
			merged = append(merged, f)
			last = f
			continue
		}
		last.Starts = append(last.Starts, f.Starts...)
		last.Cancels = append(last.Cancels, f.Cancels...)
	}
	return merged
}

// Endpoints returns the endpoints whose agents are attached.
func (a *agentRegistry) Endpoints() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.streams))
}
