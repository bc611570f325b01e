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

// agents holds the streams of attached agents, also of those whose cell is
// owned elsewhere, so that a takeover can fence them at once.
type agents struct {
	board *board
	cells func(n uint32) *cell.Cell
	// freshness is how long a confirmation lets work start.
	freshness time.Duration
	limits    agentLimits
	log       *zap.Logger
	counters  *counters

	mu    sync.Mutex
	links map[string]*link
}

// link is one agent's stream; it implements cell.Link.
type link struct {
	hello *pb.Hello
	out   *outbox.Outbox[*pb.OwnerFrame]
	// detached belongs to the lock of agents.
	detached bool
}

func (l *link) Start(s *pb.Start) { l.out.Put(&pb.OwnerFrame{Starts: []*pb.Start{s}}) }

func (l *link) Cancel(r *pb.TaskRef) { l.out.Put(&pb.OwnerFrame{Cancels: []*pb.TaskRef{r}}) }

func (l *link) Fence(f *pb.Fence) { l.out.Put(&pb.OwnerFrame{Fence: f}) }

// Adopt gives a new local cell the agents that are attached already.
func (a *agents) Adopt(c *cell.Cell) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
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

// check refuses an agent that could start work after a takeover has waited, or
// forget a start whose id may still be submitted. Its errors have the codes
// Malformed and SettingsValue.
func (l agentLimits) check(h *pb.Hello) error {
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

func (a *agents) serve(ctx context.Context, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) error {
	first, err := s.Receive()
	if err != nil {
		return err
	}
	if err := a.limits.check(first.GetHello()); err != nil {
		a.log.Warn("agent refused", zap.String("endpoint", first.GetHello().GetEndpoint()), zap.Error(err))
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	d := a.board.Doc()
	if d == nil {
		return connect.NewError(connect.CodeUnavailable, errNoDocument)
	}
	l := &link{hello: first.GetHello(), out: outbox.New[*pb.OwnerFrame]()}
	l.hello.Cell = uint32(control.CellOfEndpoint(l.hello.GetEndpoint(), len(d.Cells)))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go a.pushLocations(ctx, l)
	a.attach(l)
	defer a.detach(l)
	a.receive(l, first)
	limit := a.freshness
	silence := time.AfterFunc(limit, func() { a.cutSilent(l, cancel) })
	defer silence.Stop()
	go func() {
		cancel(a.read(l, s, func() { silence.Reset(limit) }))
		a.detach(l)
	}()
	// Only the handler sends: a send after its end would panic.
	writeFrames(ctx, l.out, s)
	return context.Cause(ctx)
}

// cutSilent ends the stream of an agent of an own cell that has sent nothing
// for the freshness limit: one that is stopped must not get more work. Agents
// of other cells send little.
func (a *agents) cutSilent(l *link, cancel context.CancelCauseFunc) {
	if a.cells(l.hello.GetCell()) == nil {
		return
	}
	cancel(errSilentAgent)
	a.detach(l)
}

// read takes frames until the stream ends; heard is called for each.
func (a *agents) read(l *link, s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame], heard func()) error {
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		heard()
		a.receive(l, f)
	}
}

func (a *agents) attach(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.links[l.hello.GetEndpoint()]; old != nil {
		old.out.Close()
	}
	a.links[l.hello.GetEndpoint()] = l
	a.log.Info("agent attached", zap.String("endpoint", l.hello.GetEndpoint()))
	if c := a.cells(l.hello.GetCell()); c != nil {
		c.Attach(l.hello, l, time.Now())
	}
}

func (a *agents) detach(l *link) {
	l.out.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	name := l.hello.GetEndpoint()
	if l.detached {
		return
	}
	l.detached = true
	if a.links[name] == l {
		delete(a.links, name)
	}
	if c := a.cells(l.hello.GetCell()); c != nil {
		c.Detach(name, l, time.Now())
	}
	a.log.Info("agent detached", zap.String("endpoint", name))
}

func (a *agents) receive(l *link, f *pb.AgentFrame) {
	now := time.Now()
	name := l.hello.GetEndpoint()
	c := a.cells(l.hello.GetCell())
	if c != nil && f.GetFenceAck() != nil {
		c.FenceAck(name, l, f.GetFenceAck(), now)
	}
	if c != nil && len(f.GetOutcomes()) > 0 {
		c.Outcomes(name, l, f.GetOutcomes(), now)
	}
	if h := f.GetHeartbeat(); h != nil {
		a.counters.heartbeats.Add(1)
		a.stamp(l, c, h, now)
	}
}

// stamp answers a heartbeat. Without ownership by the very document that is
// confirmed, or without a fresh confirmation, the answer is only an echo, with
// generation zero.
func (a *agents) stamp(l *link, c *cell.Cell, h *pb.Heartbeat, now time.Time) {
	s := &pb.Stamp{EchoNs: h.GetSentNs(), Cell: l.hello.GetCell()}
	d, basis := a.board.Confirmed(now)
	age := max(0, now.Sub(basis))
	s.ControlRevision = d.Revision
	s.InService = d.Config.InService(l.hello.GetEndpoint(), l.hello.GetFailureDomain())
	fresh := c != nil && owns(d, a.board.self, c.Number(), c.Generation()) && age < a.freshness
	if fresh {
		s.AgeNs = int64(age)
		s.Generation = c.Generation()
	}
	l.out.Put(&pb.OwnerFrame{Stamp: s})
	a.counters.stamps.Add(1)
	if c == nil {
		return
	}
	c.Heartbeat(l.hello.GetEndpoint(), l, h, now)
	if fresh {
		c.Stamped(l.hello.GetEndpoint(), l, now)
	}
}

// pushLocations tells the agent where to attach whenever that changes.
func (a *agents) pushLocations(ctx context.Context, l *link) {
	sent := ""
	for {
		changed := a.board.DocChanged()
		loc := locate(a.board.Doc(), l.hello.GetCell())
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

// permitsNothing is the age of a stamp that only carries the service state.
const permitsNothing = time.Hour

// PushService tells every agent of the own cells the service state of a new
// document at once, rather than with its next heartbeat's stamp. The agents
// answer with a heartbeat that names the revision.
func (a *agents) PushService(d *control.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		c := a.cells(l.hello.GetCell())
		if c == nil {
			continue
		}
		l.out.Put(&pb.OwnerFrame{Stamp: &pb.Stamp{
			Cell:            l.hello.GetCell(),
			Generation:      c.Generation(),
			ControlRevision: d.Revision,
			InService:       d.Config.InService(l.hello.GetEndpoint(), l.hello.GetFailureDomain()),
			AgeNs:           int64(permitsNothing),
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

// locate tells where the agents of a cell attach.
func locate(d *control.Document, n uint32) *pb.Location {
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
	d := e.board.Doc()
	if d == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoDocument)
	}
	n := control.CellOfEndpoint(req.Msg.GetEndpoint(), len(d.Cells))
	return connect.NewResponse(locate(d, uint32(n))), nil
}

// writeFrames sends all that is queued in one frame and never waits for more.
func writeFrames(ctx context.Context, out *outbox.Outbox[*pb.OwnerFrame], s *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) {
	for {
		frames, ok := out.Take(ctx)
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

// Names returns the endpoints whose agents are attached.
func (a *agents) Names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.links))
}
