package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/stream"
)

// receiveFrames handles the dispatcher's frames until the connection ends.
func (r *Runner) receiveFrames(ctx context.Context, cancel context.CancelFunc, d *dispatcher, out *frameOutbox, c *stream.Conn) {
	defer cancel()
	for {
		f := &pb.DispatcherFrame{}
		if err := c.Receive(f); err != nil || ctx.Err() != nil {
			return
		}
		r.handleFrame(d, out, f)
	}
}

// handleFrame applies one frame. A frame of a connection that has been replaced
// is dropped: on the new connection the dispatcher was told that these orders
// are unknown, and it may already have placed them elsewhere.
func (r *Runner) handleFrame(d *dispatcher, out *frameOutbox, f *pb.DispatcherFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.outbox != out {
		return
	}
	now := clock.SinceBoot()
	d.lastReceivedAt = now
	// After a suspension leases may have expired unnoticed. The heartbeat must not revive what
	// was to be stopped then; on the next connection the dispatcher is told what is held. A
	// start prolongs the endpoint's lease, and so the runs of the other dispatchers.
	if r.checkDispatcherLeases(now); d.expired {
		return
	}
	if len(f.GetStarts()) > 0 {
		d.lastOrderAt = now
		out.Wake()
	}
	// The dispatcher found the callers of the runs that it stops connected when it sent
	// the heartbeat before, and may not have when it sent the one in this frame.
	leaseEnd := d.leaseEnd
	r.applyDispatcherHeartbeat(d, f.GetBeat(), now)
	r.applyPolicy(f.GetPolicy())
	r.confirmPolicy(f.GetBeat(), now)
	if d.policyRevision > r.policy.Revision() {
		r.requestPolicy(now)
	}
	if f.GetWantsPolicy() {
		r.sendPolicy(d)
	}
	r.acceptOrders(d, f.GetStarts(), now)
	for _, s := range f.GetStops() {
		r.revokeRun(d.owner(), runref.Decode(s), leaseEnd)
	}
	for _, s := range f.GetMoves() {
		r.stopRun(d.owner(), runref.Decode(s))
	}
	if len(f.GetStarts())+len(f.GetStops())+len(f.GetMoves()) > 0 {
		r.markStateChanged()
	}
}

// applyDispatcherHeartbeat extends the dispatcher's lease; b is nil if the
// frame has no heartbeat.
func (r *Runner) applyDispatcherHeartbeat(d *dispatcher, b *pb.DispatcherBeat, now time.Duration) {
	if b == nil {
		return
	}
	// A later time than now was never sent, and proves nothing.
	if echo := time.Duration(b.GetEchoNs()); echo > 0 && echo <= now {
		d.leaseEnd = max(d.leaseEnd, echo+lease.DispatcherTTL)
	}
	if asked := b.GetAskedNs(); asked != 0 {
		d.askedNs, d.askedAt = asked, now
	}
	d.policyRevision = max(d.policyRevision, b.GetPolicyRevision())
	d.stateInterval = time.Duration(min(max(b.GetStateGapUs(), 0), maxStateInterval.Microseconds())) * time.Microsecond
	if load := b.GetLinkLoad(); placement.ValidLoad(load) {
		d.linkLoad = load
	}
	d.linkDemand, d.linkCallers = admission.DecodeLevels(b.GetLinkDemandByPriority()), admission.Bounded(b.GetLinkCallers())
}

// acceptOrders handles orders, or refuses them if the dispatcher's lease has
// expired: the dispatcher already counts such runs as lost.
func (r *Runner) acceptOrders(d *dispatcher, starts []*pb.RunOrder, now time.Duration) {
	expired := now > d.leaseEnd
	if expired && len(starts) > 0 {
		r.log.Warn("dispatcher: orders refused, its lease has expired", zap.String("dispatcher", d.name), zap.Int("orders", len(starts)))
	}
	for i, o := range newOrders(d.owner(), starts, now) {
		d.lastOrder = starts[i].GetNumber()
		if expired {
			r.refuse(o, result.LeaseLapsed)
			continue
		}
		r.handleOrder(o, now)
	}
}
