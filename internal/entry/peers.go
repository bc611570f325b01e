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

// maxMissedExchanges is how many exchanges in a row must fail until a member
// counts as dead.
const maxMissedExchanges = 3

// peers exchanges control state with the other entries on the roster: with
// the owners and deputies of cells in common all the time, to notice a dead
// one; with all when the document has changed, when the store has not
// confirmed it for a while, and when a confirmation is wanted at once.
type peers struct {
	control         *controlState
	client          *http.Client
	interval        time.Duration
	confirmInterval time.Duration
	log             *zap.Logger
	exchangeNow     chan struct{}

	mu     sync.Mutex
	states map[string]*peerState
}

type peerState struct {
	inFlight bool
	missed   int
	askedAt  time.Time
}

func newPeers(b *controlState, client *http.Client, interval, confirm time.Duration, log *zap.Logger) *peers {
	return &peers{
		control: b, client: client, interval: interval, confirmInterval: confirm, log: log,
		exchangeNow: make(chan struct{}, 1),
		states:      map[string]*peerState{},
	}
}

// RequestExchange asks every member now, for a fresh confirmation.
func (p *peers) RequestExchange() {
	select {
	case p.exchangeNow <- struct{}{}:
	default:
	}
}

// IsAlive tells whether a member has answered of late, or has not been asked.
func (p *peers) IsAlive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s == nil || s.missed < maxMissedExchanges
}

func (p *peers) run(ctx context.Context) {
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for {
		changed := p.control.Changed()
		everyone := false
		select {
		case <-tick.C:
		case <-changed:
		case <-p.exchangeNow:
			everyone = true
		case <-ctx.Done():
			return
		}
		p.exchangeWithDue(ctx, everyone)
	}
}

func (p *peers) exchangeWithDue(ctx context.Context, everyone bool) {
	d := p.control.Document()
	if d == nil {
		return
	}
	storeOld := time.Since(p.control.StoreConfirmedAt()) > p.confirmInterval+p.confirmInterval/2
	acked := p.control.Acked(d.Revision)
	for _, m := range d.Roster {
		if m.ID == p.control.self {
			continue
		}
		due := everyone || !acked(m.ID)
		regular := storeOld || areOwnerAndDeputy(d, p.control.self, m.ID) || p.control.LeaseExpired(m.ID)
		if p.beginExchange(m.ID, due, regular) {
			go p.exchange(ctx, m, d)
		}
	}
}

// areOwnerAndDeputy tells whether one of the two is the owner and the other the deputy
// of some cell.
func areOwnerAndDeputy(d *control.Document, a, b string) bool {
	for _, c := range d.Cells {
		if (c.Owner == a && c.Deputy == b) || (c.Owner == b && c.Deputy == a) {
			return true
		}
	}
	return false
}

// beginExchange claims the one exchange at a time with a member, if one is due.
func (p *peers) beginExchange(id string, due, regular bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil {
		s = &peerState{}
		p.states[id] = s
	}
	waited := time.Since(s.askedAt)
	due = due && (s.missed == 0 || waited >= p.interval)
	if s.inFlight || (!due && (!regular || waited < p.interval)) {
		return false
	}
	s.inFlight = true
	s.askedAt = time.Now()
	return true
}

func (p *peers) endExchange(id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	s.inFlight = false
	if ok {
		s.missed = 0
		return
	}
	s.missed++
}

func (p *peers) exchange(ctx context.Context, m control.Member, d *control.Document) {
	ctx, cancel := context.WithTimeout(ctx, p.interval)
	defer cancel()
	req := &pb.ExchangeRequest{Entry: p.control.self, Revision: d.Revision}
	if !p.control.Acked(d.Revision)(m.ID) {
		req.Document, _ = json.Marshal(d)
	}
	asked := time.Now()
	c := pomelosillv1connect.NewDispatchServiceClient(p.client, "http://"+m.Address)
	res, err := c.Exchange(ctx, connect.NewRequest(req))
	ok := err == nil && res.Msg.GetEntry() == m.ID
	p.endExchange(m.ID, ok)
	if !ok {
		return
	}
	if doc := decodeDocument(res.Msg.GetDocument()); doc != nil {
		p.control.UpdateFromPeer(doc)
	}
	p.control.RecordExchange(m.ID, res.Msg.GetRevision(), res.Msg.GetVouched(), asked)
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
		e.control.UpdateFromPeer(doc)
	}
	e.control.RecordRevision(req.Msg.GetEntry(), req.Msg.GetRevision())
	res := &pb.ExchangeResponse{Entry: e.id}
	d := e.control.Document()
	if d == nil {
		return connect.NewResponse(res), nil
	}
	res.Revision = d.Revision
	res.Vouched = e.control.CanConfirm(req.Msg.GetRevision())
	if req.Msg.GetRevision() < d.Revision {
		res.Document, _ = json.Marshal(d)
	}
	return connect.NewResponse(res), nil
}
