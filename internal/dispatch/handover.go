package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/handover"
)

// handoverState is what the dispatcher knows for forwarding jobs, and the forwarded jobs
// in flight. The dispatcher's lock guards it.
type handoverState struct {
	// enabled is set if jobs may be forwarded. The lag is measured in any case: it decides
	// whether forwarded jobs are accepted.
	enabled    bool
	controller handover.Controller
	readiness  handover.Readiness
	peers      handover.Peers
	// others are the other dispatchers that the directory knows, and names their names.
	others []directory.Node
	names  []string
	// forwarded holds the jobs that were forwarded and are not answered, by ID.
	forwarded map[string]*forwardedJob
	// received counts the jobs in flight that other dispatchers have forwarded, by sender.
	received map[string]int
	// random returns a number in [0, 1).
	random func() float64
}

func newHandoverState(s *Settings) handoverState {
	return handoverState{enabled: s.forwards(), forwarded: map[string]*forwardedJob{}, received: map[string]int{}, random: rand.Float64}
}

// lowSlack returns the smallest of the levels' low slacks, zero while it is unknown. It
// is called with the lock held.
func (d *Dispatcher) lowSlack() time.Duration {
	low := d.contention.slacks.Low()
	return handover.MinSlack(low[:])
}

// recordTick records how much later than due a tick began. It is called with the lock
// held.
func (d *Dispatcher) recordTick(late, now time.Duration) {
	if d.InjectLateness != nil {
		late = d.InjectLateness()
	}
	h := &d.handover
	changed := h.controller.Tick(late, d.lowSlack())
	d.metrics.lag.Record(d.runCtx, h.controller.Lag().Seconds())
	if !h.enabled {
		return
	}
	h.readiness.Update(h.controller.Fraction(), now)
	if changed {
		message := "handover: stopped"
		if h.controller.Starved() {
			message = "handover: started"
		}
		d.log.Info(message, zap.Duration("lag", h.controller.Lag()), zap.Duration("low slack", d.lowSlack()), zap.Int("forwarded", len(h.forwarded)))
	}
}

// updatePeers sets the dispatchers that jobs can be forwarded to.
func (d *Dispatcher) updatePeers(dispatchers []directory.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.handover
	h.others, h.names = nil, nil
	for _, n := range dispatchers {
		if n.Name != d.settings.Name {
			h.others = append(h.others, n)
			h.names = append(h.names, n.Name)
		}
	}
}

// reportPeer records a peer's lag and load from a message. It is called with the lock
// held.
func (d *Dispatcher) reportPeer(name string, lagUs int64, load float64, now time.Duration) {
	if name != "" {
		d.handover.peers.Report(name, lagUs, load, d.lowSlack(), now)
	}
}

// ownReport returns the lag and the load that messages to other dispatchers report. It is
// called with the lock held.
func (d *Dispatcher) ownReport(now time.Duration) (lagUs int64, load float64) {
	return d.handover.controller.Lag().Microseconds(), d.load.Value(now)
}

// choosePeer returns the peer to which an arriving job is forwarded, or false if it is
// admitted here. It is called with the lock held.
func (d *Dispatcher) choosePeer(j *job, now time.Duration) (directory.Node, bool) {
	h := &d.handover
	if !h.enabled {
		return directory.Node{}, false
	}
	// A job that outlasts its caller's wait at the peer is answered as one that may have run.
	slack := min(j.urgency().Slack(now), j.deadline-now)
	arriving := handover.Job{Suspect: j.suspect || j.mayHaveRun, Slack: slack}
	if !h.controller.Forward(arriving, h.random()) {
		return directory.Node{}, false
	}
	i := h.peers.Choose(h.names, now, rand.IntN)
	if i < 0 {
		return directory.Node{}, false
	}
	return h.others[i], true
}

// maxReceivedPerSender bounds the forwarded jobs in flight from one dispatcher, so that a
// starved dispatcher with many callers can't fill a peer.
const maxReceivedPerSender = 64

// acceptForwarded reports whether a forwarded job is accepted, and counts it if so: there is CPU time
// to spare, and the dispatcher is in service.
func (d *Dispatcher) acceptForwarded(m *pb.SubmitRequest, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.handover
	switch {
	case h.controller.Starved(), d.shuttingDown.Load(), d.policy.Current() == nil, !d.hasUsableRunner(now):
		return false
	case !d.suspension.settled(now):
		// The request may have waited here until its sender gave it up.
		return false
	case m.GetPolicyRevision() > d.policy.Revision(), h.received[m.GetDispatcher()] >= maxReceivedPerSender:
		return false
	}
	h.received[m.GetDispatcher()]++
	d.metrics.handedOver.Add(d.runCtx, 1)
	return true
}

// releaseForwarded ends the count of a job that was accepted.
func (d *Dispatcher) releaseForwarded(sender string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.handover
	if h.received[sender]--; h.received[sender] == 0 {
		delete(h.received, sender)
	}
	d.metrics.handedOver.Add(d.runCtx, -1)
}

// HandoverState describes forwarding in the state dump.
type HandoverState struct {
	Enabled bool `json:"enabled"`
	Starved bool `json:"starved"`
	// LagMS is how much later than due ticks recently began, in milliseconds.
	LagMS float64 `json:"lag_ms"`
	// Fraction is the fraction of arriving jobs to forward.
	Fraction float64 `json:"fraction"`
	// Forwarded is the number of forwarded jobs in flight, and Received that of jobs in
	// flight that others have forwarded.
	Forwarded int `json:"forwarded"`
	Received  int `json:"received"`
	// Peers are the other dispatchers that have reported their lag.
	Peers []HandoverPeer `json:"peers,omitempty"`
}

// HandoverPeer describes another dispatcher in the state dump.
type HandoverPeer struct {
	Name  string  `json:"name"`
	LagMS float64 `json:"lag_ms"`
	// Load is in thousandths of a core.
	Load float64 `json:"load"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// handoverStateDump is called with the lock held.
func (d *Dispatcher) handoverStateDump(now time.Duration) HandoverState {
	h := &d.handover
	out := HandoverState{
		Enabled: h.enabled, Starved: h.controller.Starved(), LagMS: milliseconds(h.controller.Lag()),
		Fraction: h.controller.Fraction(), Forwarded: len(h.forwarded),
	}
	for _, n := range h.received {
		out.Received += n
	}
	for name, p := range h.peers.Known(now) {
		if p.Reported {
			out.Peers = append(out.Peers, HandoverPeer{Name: name, LagMS: milliseconds(p.Lag), Load: p.Load, AgeMS: (now - p.ReportedAt).Milliseconds()})
		}
	}
	slices.SortFunc(out.Peers, func(a, b HandoverPeer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
