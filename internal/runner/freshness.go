package runner

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// Dispatchers read the operators' keys, and tell runners with each heartbeat when the store
// last confirmed the policy. While none of them reaches the store, the runner reads the keys
// itself and tells the dispatchers, which tell the other runners. A run is started only on a
// policy that was confirmed recently, or while the runner can't reach the store either:
// an operator's change is then in force here as soon as it can be.

const (
	// maxPolicyAgeFraction is the part of the evacuation timeout after which an
	// unconfirmed policy starts no runs. An order may be on its way to the endpoint for
	// one lease of the endpoint more.
	maxPolicyAgeFraction = 0.8
	// minReadAgeFraction and maxReadAgeFraction bound the age, as parts of the evacuation
	// timeout, at which a runner reads the keys. Dispatchers that reach the store confirm
	// the policy before.
	minReadAgeFraction = 0.54
	maxReadAgeFraction = 0.68
	// policyReadTimeout bounds a read.
	policyReadTimeout = 500 * time.Millisecond
	// minLostFraction and maxLostFraction bound the time from a failed read to the next
	// one, as parts of the contact time; after storeLostFraction the failed one proves
	// nothing any more.
	minLostFraction   = 0.4
	maxLostFraction   = 0.63
	storeLostFraction = 0.83
	// wantedReadInterval is the minimum time between two reads that orders wait for.
	wantedReadInterval = 500 * time.Millisecond
	// askRetention is how long a dispatcher that has asked for a confirmation gets them.
	askRetention = 5 * time.Second
	// readSkew is how much more likely late times of the reading are than early ones:
	// the few first readers spare the others their reads, however many runners there are.
	readSkew = 10
)

// freshness is the runner's knowledge of how current its policy is. Its fields are guarded by
// Runner.mu.
type freshness struct {
	// readAge is the age of the policy at which it is read.
	readAge time.Duration
	// nextReadAt is when the next read may be made at the earliest.
	nextReadAt time.Duration
	// lostAt is when the last read failed, zero if it succeeded or there was none.
	lostAt time.Duration
	// connectedSince is since when a dispatcher has been connected, zero while none is.
	connectedSince time.Duration
	// lastReadAt is when the last read ended.
	lastReadAt time.Duration
	// wanted is set while orders wait for a confirmation.
	wanted bool
}

// drawReadAge draws the age at which the runner reads the policy, from a time in [0, 1).
func drawReadAge(evacuationTimeout time.Duration, uniform float64) time.Duration {
	late := math.Log1p(uniform*math.Expm1(readSkew)) / readSkew
	return fraction(evacuationTimeout, minReadAgeFraction+(maxReadAgeFraction-minReadAgeFraction)*late)
}

// fraction returns a part of a duration.
func fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}

// confirmPolicy applies what a dispatcher's heartbeat says of its policy.
func (r *Runner) confirmPolicy(b *pb.DispatcherBeat, now time.Duration) {
	if b == nil || b.ConfirmedUs == nil {
		return
	}
	echo := time.Duration(b.GetEchoNs())
	if echo <= 0 || echo > now {
		return
	}
	// The dispatcher received the heartbeat after this runner had sent it.
	r.policy.Confirm(b.GetPolicyRevision(), min(echo+decodeDuration(b.GetConfirmedUs()), now))
}

// mayActOnPolicy reports whether runs may be started on the current policy: it was confirmed
// recently, or the store can't be reached from here. Otherwise a read is requested.
func (r *Runner) mayActOnPolicy(now time.Duration) bool {
	_, confirmedAt := r.policy.Confirmed()
	if confirmedAt > 0 && now-confirmedAt <= fraction(r.settings.EvacuationTimeout.Std(), maxPolicyAgeFraction) {
		return true
	}
	f := &r.freshness
	if f.lostAt > 0 && now-f.lostAt <= fraction(r.settings.ContactTime.Std(), storeLostFraction) {
		return true
	}
	f.wanted = true
	return false
}

// confirmLoop reads the operators' keys while no dispatcher confirms the policy.
func (r *Runner) confirmLoop(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) {
		r.mu.Lock()
		now := clock.SinceBoot()
		r.noteConnections(now)
		due := r.policyReadDue(now)
		r.mu.Unlock()
		if due {
			r.readPolicy(ctx)
		}
	}
}

// policyReadDue reports whether the policy is to be read from the store. A runner without a
// policy starts no runs, and needs none before a dispatcher has sent it one.
func (r *Runner) policyReadDue(now time.Duration) bool {
	f := &r.freshness
	revision, confirmedAt := r.policy.Confirmed()
	if revision == 0 {
		return false
	}
	if f.wanted = f.wanted && !r.mayActOnPolicy(now); f.wanted {
		return now-f.lastReadAt >= wantedReadInterval
	}
	return f.connectedSince > 0 && now-max(confirmedAt, f.connectedSince) >= f.readAge && now >= f.nextReadAt
}

// noteConnections records since when there has been a dispatcher that could confirm the
// policy. Without one there are no orders, and the runner asks nothing of the store.
func (r *Runner) noteConnections(now time.Duration) {
	connected := false
	for _, d := range r.dispatchers {
		connected = connected || d.outbox != nil
	}
	switch {
	case !connected:
		r.freshness.connectedSince = 0
	case r.freshness.connectedSince == 0:
		r.freshness.connectedSince = now
	}
}

// readPolicy reads the operators' keys once.
func (r *Runner) readPolicy(ctx context.Context) {
	before := r.policy.Revision()
	ctx, cancel := context.WithTimeout(ctx, policyReadTimeout)
	err := r.operators.Refresh(ctx)
	cancel()
	r.counters.policyReads.Add(r.baseCtx, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.SinceBoot()
	f := &r.freshness
	if failed := err != nil; failed != (f.lostAt > 0) || f.lastReadAt == 0 {
		r.log.Info("policy: read from the store, as no dispatcher confirms it", zap.Uint64("revision", r.policy.Revision()), zap.Error(err))
	}
	f.wanted, f.lastReadAt, f.lostAt, f.nextReadAt = false, now, 0, 0
	f.readAge = drawReadAge(r.settings.EvacuationTimeout.Std(), rand.Float64())
	if err == nil {
		r.shareConfirmation(now)
	} else {
		f.lostAt = now
		f.nextReadAt = now + fraction(r.settings.ContactTime.Std(), minLostFraction+(maxLostFraction-minLostFraction)*rand.Float64())
	}
	if r.policy.Revision() != before {
		r.refuseQueued()
		r.markStateChanged()
	}
	r.startQueued(now)
}

// asks reports whether the dispatcher has recently asked for a confirmation of the policy.
func (d *dispatcher) asks(now time.Duration) bool {
	return d.askedNs != 0 && now-d.askedAt < askRetention
}

// shareConfirmation sends a confirmation by the store to all dispatchers that have asked for
// one, so that it reaches the other runners before they read the keys.
func (r *Runner) shareConfirmation(now time.Duration) {
	for _, d := range r.dispatchers {
		if d.outbox != nil && d.asks(now) {
			d.outbox.Put(&pb.RunnerFrame{Beat: r.newHeartbeat(d)})
		}
	}
}

// addConfirmation tells a dispatcher that has asked for it when the policy was confirmed.
func (r *Runner) addConfirmation(b *pb.RunnerBeat, d *dispatcher, now time.Duration) {
	revision, confirmedAt := r.policy.Confirmed()
	if !d.asks(now) || confirmedAt == 0 {
		return
	}
	b.PolicyRevision, b.EchoNs, b.ConfirmedUs = revision, d.askedNs, (confirmedAt - d.askedAt).Microseconds()
}
