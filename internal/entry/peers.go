package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
)

// missesUntilDead is how many exchanges in a row must fail until a member
// counts as dead.
const missesUntilDead = 3

// peers exchanges control state with the other entries on the roster: with
// the owners and deputies of cells in common all the time, to notice a dead
// one; with all when the document has changed, when the store has not
// confirmed it for a while, and when a confirmation is wanted at once.
type peers struct {
	board    *board
	client   *http.Client
	interval time.Duration
	confirm  time.Duration
	log      *zap.Logger
	now      chan struct{}

	mu     sync.Mutex
	states map[string]*peerState
}

type peerState struct {
	busy   bool
	misses int
	asked  time.Time
}

func newPeers(b *board, client *http.Client, interval, confirm time.Duration, log *zap.Logger) *peers {
	return &peers{
		board: b, client: client, interval: interval, confirm: confirm, log: log,
		now:    make(chan struct{}, 1),
		states: map[string]*peerState{},
	}
}

// Soon asks every member now, for a fresh confirmation.
func (p *peers) Soon() {
	select {
	case p.now <- struct{}{}:
	default:
	}
}

// Alive tells whether a member has answered of late, or has not been asked.
func (p *peers) Alive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s == nil || s.misses < missesUntilDead
}

func (p *peers) run(ctx context.Context) {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for {
		changed := p.board.Changed()
		everyone := false
		select {
		case <-tick.C:
		case <-changed:
		case <-p.now:
			everyone = true
		case <-ctx.Done():
			return
		}
		p.askMembers(ctx, everyone)
	}
}

func (p *peers) askMembers(ctx context.Context, everyone bool) {
	d := p.board.Doc()
	if d == nil {
		return
	}
	storeOld := time.Since(p.board.StoreConfirmed()) > p.confirm+p.confirm/2
	acked := p.board.Acked(d.Revision)
	for _, m := range d.Roster {
		if m.ID == p.board.self {
			continue
		}
		due := everyone || !acked(m.ID)
		regular := storeOld || together(d, p.board.self, m.ID) || p.board.LeaseGone(m.ID)
		if p.begin(m.ID, due, regular) {
			go p.exchange(ctx, m, d)
		}
	}
}

// together tells whether one of the two is the owner and the other the deputy
// of some cell.
func together(d *control.Document, a, b string) bool {
	for _, c := range d.Cells {
		if (c.Owner == a && c.Deputy == b) || (c.Owner == b && c.Deputy == a) {
			return true
		}
	}
	return false
}

// begin claims the one exchange at a time with a member, if one is due.
func (p *peers) begin(id string, due, regular bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil {
		s = &peerState{}
		p.states[id] = s
	}
	waited := time.Since(s.asked)
	due = due && (s.misses == 0 || waited >= p.interval)
	if s.busy || (!due && (!regular || waited < p.interval)) {
		return false
	}
	s.busy = true
	s.asked = time.Now()
	return true
}

func (p *peers) end(id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	s.busy = false
	if ok {
		s.misses = 0
		return
	}
	s.misses++
}

func (p *peers) exchange(ctx context.Context, m control.Member, d *control.Document) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	req := &pb.ExchangeRequest{Entry: p.board.self, Revision: d.Revision}
	if !p.board.Acked(d.Revision)(m.ID) {
		req.Document, _ = json.Marshal(d)
	}
	asked := time.Now()
	c := pomelosillv1connect.NewDispatchServiceClient(p.client, "http://"+m.Address)
	res, err := c.Exchange(ctx, connect.NewRequest(req))
	ok := err == nil && res.Msg.GetEntry() == m.ID
	p.end(m.ID, ok)
	if !ok {
		return
	}
	if doc := decodeDocument(res.Msg.GetDocument()); doc != nil {
		p.board.FromPeer(doc)
	}
	p.board.PeerAnswered(m.ID, res.Msg.GetRevision(), res.Msg.GetVouched(), asked)
}

func decodeDocument(text []byte) *control.Document {
	if len(text) == 0 {
		return nil
	}
	var d control.Document
	if json.Unmarshal(text, &d) != nil {
		return nil
	}
	return &d
}

// Exchange answers another entry's question.
func (e *Entry) Exchange(_ context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	if doc := decodeDocument(req.Msg.GetDocument()); doc != nil {
		e.board.FromPeer(doc)
	}
	e.board.Heard(req.Msg.GetEntry(), req.Msg.GetRevision())
	res := &pb.ExchangeResponse{Entry: e.id}
	d := e.board.Doc()
	if d == nil {
		return connect.NewResponse(res), nil
	}
	res.Revision = d.Revision
	res.Vouched = e.board.Vouches(req.Msg.GetRevision())
	if req.Msg.GetRevision() < d.Revision {
		res.Document, _ = json.Marshal(d)
	}
	return connect.NewResponse(res), nil
}
