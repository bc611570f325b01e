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

// agentRegistry holds the streams of attached agents, also of those whose cell is
// owned elsewhere, so that a takeover can fence them at once.
type agentRegistry struct {
	control   *controlState
	localCell func(n uint32) *cell.Cell
	// freshness is how long a confirmation lets work start.
	freshness time.Duration
	limits    agentLimits
	log       *zap.Logger
	counters  *counters

	mu      sync.Mutex
	streams map[string]*agentStream
}

// agentStream is one agent's stream; it implements cell.Link.
type agentStream struct {
	hello *pb.Hello
	out   *outbox.Outbox[*pb.OwnerFrame]
	// detached belongs to the lock of agents.
	detached bool
}

func (l *agentStream) Start(s *pb.Start) { l.out.Put(&pb.OwnerFrame{Starts: []*pb.Start{s}}) }

func (l *agentStream) Cancel(r *pb.TaskRef) { l.out.Put(&pb.OwnerFrame{Cancels: []*pb.TaskRef{r}}) }

func (l *agentStream) Fence(f *pb.Fence) { l.out.Put(&pb.OwnerFrame{Fence: f}) }

// AttachAll gives a new local cell the agents that are attached already.
func (a *agentRegistry) AttachAll(c *cell.Cell) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.streams {
		if l.hello.GetCell() == c.Number() {
			c.Attach(l.hello, l, time.Now())
		}
	}
}

// agentLimits are what the entry's own rules need of an agent's settings.
type agentLimits struct {
	// maxFreshness is how long a takeover waits for starts under the old
	// owner's stamps.
	maxFreshness time.Duration
	// minRetention is how old an id may be at its submission.
	minRetention time.Duration
}

// validate refuses an agent that could start work after a takeover has waited, or
// forget a start whose id may still be submitted. Its errors have the codes
// Malformed and SettingsValue.
func (l agentLimits) validate(h *pb.Hello) error {
	switch {
	case h.GetEndpoint() == "" || h.GetIncarnation() == "":
		return result.Errorf(result.Malformed, "the first frame must be a hello")
	case time.Duration(h.GetFreshnessNs()) > l.maxFreshness:
		return result.Errorf(result.SettingsValue, "freshness: the agent's %s exceeds the entry's %s",
			time.Duration(h.GetFreshnessNs()), l.maxFreshness)
	case time.Duration(h.GetRecordRetentionNs()) < l.minRetention:
		return result.Errorf(result.SettingsValue, "record_retention: the agent's %s is below the entry's id_retention of %s",
			time.Duration(h.GetRecordRetentionNs()), l.minRetention)
	}
	return nil
}

// Attach serves an agent's stream.
func (e *Entry) Attach(ctx context.Context, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) error {
	return e.agents.serve(ctx, s)
}

func (a *agentRegistry) serve(ctx context.Context, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) error {
	first, err := s.Receive()
	if err != nil {
		return err
	}
	if err := a.limits.validate(first.GetHello()); err != nil {
		a.log.Warn("agent refused", zap.String("endpoint", first.GetHello().GetEndpoint()), zap.Error(err))
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	d := a.control.Document()
	if d == nil {
		return connect.NewError(connect.CodeUnavailable, errNoDocument)
	}
	l := &agentStream{hello: first.GetHello(), out: outbox.New[*pb.OwnerFrame]()}
	l.hello.Cell = uint32(control.CellOfEndpoint(l.hello.GetEndpoint(), len(d.Cells)))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go a.sendLocationUpdates(ctx, l)
	a.attach(l)
	defer a.detach(l)
	a.handleFrame(l, first)
	limit := a.freshness
	silence := time.AfterFunc(limit, func() { a.disconnectSilent(l, cancel) })
	defer silence.Stop()
	go func() {
		cancel(a.readFrames(l, s, func() { silence.Reset(limit) }))
		a.detach(l)
	}()
	// Only the handler sends: a send after its end would panic.
	writeFrames(ctx, l.out, s)
	return context.Cause(ctx)
}

// disconnectSilent ends the stream of an agent of an own cell that has sent nothing
// for the freshness limit: one that is stopped must not get more work. Agents
// of other cells send little.
func (a *agentRegistry) disconnectSilent(l *agentStream, cancel context.CancelCauseFunc) {
	if a.localCell(l.hello.GetCell()) == nil {
		return
	}
	cancel(errAgentTimeout)
	a.detach(l)
}

// readFrames takes frames until the stream ends; heard is called for each.
func (a *agentRegistry) readFrames(l *agentStream, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame], heard func()) error {
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		heard()
		a.handleFrame(l, f)
	}
}

func (a *agentRegistry) attach(l *agentStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.streams[l.hello.GetEndpoint()]; old != nil {
		old.out.Close()
	}
	a.streams[l.hello.GetEndpoint()] = l
	a.log.Info("agent attached", zap.String("endpoint", l.hello.GetEndpoint()))
	if c := a.localCell(l.hello.GetCell()); c != nil {
		c.Attach(l.hello, l, time.Now())
	}
}

func (a *agentRegistry) detach(l *agentStream) {
	l.out.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	name := l.hello.GetEndpoint()
	if l.detached {
		return
	}
	l.detached = true
	if a.streams[name] == l {
		delete(a.streams, name)
	}
	if c := a.localCell(l.hello.GetCell()); c != nil {
		c.Detach(name, l, time.Now())
	}
	a.log.Info("agent detached", zap.String("endpoint", name))
}

func (a *agentRegistry) handleFrame(l *agentStream, f *pb.AgentFrame) {
	now := time.Now()
	name := l.hello.GetEndpoint()
	c := a.localCell(l.hello.GetCell())
	if c != nil && f.GetFenceAck() != nil {
		c.HandleFenceAck(name, l, f.GetFenceAck(), now)
	}
	if c != nil && len(f.GetOutcomes()) > 0 {
		c.HandleOutcomes(name, l, f.GetOutcomes(), now)
	}
	if h := f.GetHeartbeat(); h != nil {
		a.counters.heartbeatsReceived.Add(1)
		a.answerHeartbeat(l, c, h, now)
	}
}

// answerHeartbeat answers a heartbeat. Without ownership by the very document that is
// confirmed, or without a fresh confirmation, the answer is only an echo, with
// generation zero.
func (a *agentRegistry) answerHeartbeat(l *agentStream, c *cell.Cell, h *pb.Heartbeat, now time.Time) {
	s := &pb.Stamp{EchoNs: h.GetSentNs(), Cell: l.hello.GetCell()}
	d, basis := a.control.ConfirmedDocument(now)
	age := max(0, now.Sub(basis))
	s.ControlRevision = d.Revision
	s.InService = d.Config.InService(l.hello.GetEndpoint(), l.hello.GetFailureDomain())
	fresh := c != nil && isOwner(d, a.control.self, c.Number(), c.Generation()) && age < a.freshness
	if fresh {
		s.AgeNs = int64(age)
		s.Generation = c.Generation()
	}
	l.out.Put(&pb.OwnerFrame{Stamp: s})
	a.counters.stampsSent.Add(1)
	if c == nil {
		return
	}
	c.HandleHeartbeat(l.hello.GetEndpoint(), l, h, now)
	if fresh {
		c.MarkStamped(l.hello.GetEndpoint(), l, now)
	}
}

// sendLocationUpdates tells the agent where to attach whenever that changes.
func (a *agentRegistry) sendLocationUpdates(ctx context.Context, l *agentStream) {
	sent := ""
	for {
		changed := a.control.DocumentChanged()
		loc := locationOf(a.control.Document(), l.hello.GetCell())
		if key := locationKey(loc); key != sent {
			sent = key
			l.out.Put(&pb.OwnerFrame{Location: loc})
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// expiredStampAge is the age of a stamp that only carries the service state.
const expiredStampAge = time.Hour

// SendServiceState tells every agent of the own cells the service state of a new
// document at once, rather than with its next heartbeat's stamp. The agents
// answer with a heartbeat that names the revision.
func (a *agentRegistry) SendServiceState(d *control.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.streams {
		c := a.localCell(l.hello.GetCell())
		if c == nil {
			continue
		}
		l.out.Put(&pb.OwnerFrame{Stamp: &pb.Stamp{
			Cell:            l.hello.GetCell(),
			Generation:      c.Generation(),
			ControlRevision: d.Revision,
			InService:       d.Config.InService(l.hello.GetEndpoint(), l.hello.GetFailureDomain()),
			AgeNs:           int64(expiredStampAge),
		}})
	}
}

func locationKey(l *pb.Location) string {
	key := l.GetOwner() + " " + l.GetDeputy()
	for _, a := range l.GetEntries() {
		key += " " + a
	}
	return key
}

// locationOf tells where the agents of a cell attach.
func locationOf(d *control.Document, n uint32) *pb.Location {
	loc := &pb.Location{Cell: n}
	if d == nil || int(n) >= len(d.Cells) {
		return loc
	}
	loc.ControlRevision = d.Revision
	if m, ok := d.Member(d.Cells[n].Owner); ok {
		loc.Owner = m.Address
	}
	if m, ok := d.Member(d.Cells[n].Deputy); ok {
		loc.Deputy = m.Address
	}
	for _, m := range d.Roster {
		loc.Entries = append(loc.Entries, m.Address)
	}
	return loc
}

// Locate answers an agent that has no stream yet.
func (e *Entry) Locate(_ context.Context, req *connect.Request[pb.LocateRequest]) (*connect.Response[pb.Location], error) {
	d := e.control.Document()
	if d == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoDocument)
	}
	n := control.CellOfEndpoint(req.Msg.GetEndpoint(), len(d.Cells))
	return connect.NewResponse(locationOf(d, uint32(n))), nil
}

// writeFrames sends all that is queued in one frame and never waits for more.
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

// mergeFrames joins frames in their order: a fence or a stamp ends a frame,
// so that starts never overtake the stamp that they were sent after.
func mergeFrames(frames []*pb.OwnerFrame) []*pb.OwnerFrame {
	merged := []*pb.OwnerFrame{}
	var last *pb.OwnerFrame
	for _, f := range frames {
		plain := f.Stamp == nil && f.Fence == nil && f.Location == nil
		if last == nil || !plain {
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
