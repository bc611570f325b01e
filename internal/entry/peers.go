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

// maxMissedExchanges is the number of consecutive failed exchanges after which a
// member counts as dead.
const maxMissedExchanges = 3

// peers exchanges control state with the other entries on the roster:
//   - at every interval, to detect dead members, with the deputies of the cells
//     that this entry owns, with the owners of the cells that it is the deputy of,
//     and with members whose lease has expired,
//   - at every interval with all members while the store has not confirmed the
//     document for one and a half confirmation intervals,
//   - immediately with members that are not known to hold the current document,
//     and with all members on request.
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

// peerState is the state of the exchanges with one member.
type peerState struct {
	inFlight bool
	// missed is the number of consecutive failed exchanges.
	missed int
	// startedAt is when the last exchange started.
	startedAt time.Time
}

func newPeers(state *controlState, client *http.Client, interval, confirmInterval time.Duration, log *zap.Logger) *peers {
	return &peers{
		control: state, client: client, interval: interval, confirmInterval: confirmInterval, log: log,
		exchangeNow: make(chan struct{}, 1),
		states:      map[string]*peerState{},
	}
}

// RequestExchange starts an exchange with every member, for a new confirmation.
func (p *peers) RequestExchange() {
	select {
	case p.exchangeNow <- struct{}{}:
	default:
	}
}

// IsAlive reports whether fewer than maxMissedExchanges exchanges in a row with
// the member have failed.
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
		all := false
		select {
		case <-tick.C:
		case <-changed:
		case <-p.exchangeNow:
			all = true
		case <-ctx.Done():
			return
		}
		p.exchangeWithDue(ctx, all)
	}
}

func (p *peers) exchangeWithDue(ctx context.Context, all bool) {
	d := p.control.Document()
	if d == nil {
		return
	}
	storeConfirmationOld := time.Since(p.control.StoreConfirmedAt()) > p.confirmInterval+p.confirmInterval/2
	acked := p.control.Acked(d.Revision)
	for _, m := range d.Roster {
		if m.ID == p.control.self {
			continue
		}
		immediate := all || !acked(m.ID)
		regular := storeConfirmationOld || areOwnerAndDeputy(d, p.control.self, m.ID) || p.control.LeaseExpired(m.ID)
		if p.beginExchange(m.ID, immediate, regular) {
			go p.exchange(ctx, m, d)
		}
	}
}

// areOwnerAndDeputy reports whether one of the two members is the owner and the
// other the deputy of some cell.
func areOwnerAndDeputy(d *control.Document, a, b string) bool {
	for _, c := range d.Cells {
		if (c.Owner == a && c.Deputy == b) || (c.Owner == b && c.Deputy == a) {
			return true
		}
	}
	return false
}

// beginExchange reports whether an exchange with the member should start now, and
// marks it as in flight. There is at most one per member at a time. immediate asks
// for an exchange now, regular for one per interval; after a failure both wait
// for the interval.
func (p *peers) beginExchange(id string, immediate, regular bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil {
		s = &peerState{}
		p.states[id] = s
	}
	waited := time.Since(s.startedAt)
	immediate = immediate && (s.missed == 0 || waited >= p.interval)
	if s.inFlight || (!immediate && (!regular || waited < p.interval)) {
		return false
	}
	s.inFlight = true
	s.startedAt = time.Now()
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
	requestedAt := time.Now()
	c := pomelosillv1connect.NewDispatchServiceClient(p.client, "http://"+m.Address)
	res, err := c.Exchange(ctx, connect.NewRequest(req))
	ok := err == nil && res.Msg.GetEntry() == m.ID
	p.endExchange(m.ID, ok)
	if !ok {
		return
	}
	p.control.updateFromExchange(res.Msg.GetDocument())
	p.control.RecordExchange(m.ID, res.Msg.GetRevision(), res.Msg.GetVouched(), requestedAt)
}

// Exchange answers another entry's exchange with the revision held here, whether
// this entry confirms the other's revision, and the document if it is newer than
// the other's.
func (e *Entry) Exchange(_ context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	e.control.updateFromExchange(req.Msg.GetDocument())
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
