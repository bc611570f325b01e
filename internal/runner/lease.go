package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/result"
)

// grantLease grants a lease to a newly connected dispatcher whose lease has
// expired, or that never had one. The runs under an expired lease are stopped
// first. A lease that has not expired is not extended: the network may have
// delayed the first frame, so that it does not prove that the dispatcher is
// alive now. Only an echoed heartbeat extends a lease.
func (r *Runner) grantLease(d *dispatcher, now time.Duration) {
	if now <= d.leaseEnd {
		return
	}
	if d.leaseEnd > 0 {
		r.stopRunsOf(d, "dispatcher lease expired")
	}
	d.leaseEnd = now + lease.DispatcherTTL
}

// checkDispatcherLeases checks the leases of all dispatchers.
func (r *Runner) checkDispatcherLeases(now time.Duration) {
	for _, d := range r.dispatchers {
		r.checkDispatcherLease(d, now)
	}
}

// checkDispatcherLease stops the runs of a dispatcher whose lease has expired
// and closes its connection. A dispatcher without runs may let its lease expire:
// its next order carries a newer echo, or is refused. A connection on which
// nothing was received for silenceTimeout is closed. The state of a dispatcher
// that has not reconnected within eventRetention is discarded.
func (r *Runner) checkDispatcherLease(d *dispatcher, now time.Duration) {
	if now > d.leaseEnd && !d.expired && r.holdsRuns(d) {
		d.expired = true
		r.stopRunsOf(d, "dispatcher lease expired")
		if d.cancel != nil {
			d.cancel()
		}
	}
	if d.cancel != nil && now > d.lastReceivedAt+silenceTimeout {
		r.log.Info("dispatcher: connection closed, it is silent", zap.String("dispatcher", d.name))
		d.cancel()
	}
	if d.cancel == nil && now > d.leaseEnd+eventRetention {
		delete(r.dispatchers, d.name)
	}
}

// leaseValid reports whether the lease of the dispatcher with this owner name is
// still valid.
func (r *Runner) leaseValid(owner string, now time.Duration) bool {
	for _, d := range r.dispatchers {
		if d.owner() == owner {
			return now <= d.leaseEnd
		}
	}
	return false
}

// stopRunsOf stops all runs of a dispatcher, which may go on until its lease has expired at
// most, and refuses its queued orders.
func (r *Runner) stopRunsOf(d *dispatcher, reason string) {
	owner := d.owner()
	stopped := 0
	for _, o := range append([]*order(nil), r.queue...) {
		if r.dequeue(owner, o.runID) {
			r.refuse(o, result.LeaseLapsed)
		}
	}
	if s := r.session; s != nil {
		for _, run := range s.tracker.OwnedBy(owner) {
			stopped++
			r.revokeRun(owner, run, d.leaseEnd)
		}
	}
	r.log.Info("dispatcher: runs stopped", zap.String("dispatcher", d.name), zap.String("reason", reason), zap.Int("runs", stopped))
}
