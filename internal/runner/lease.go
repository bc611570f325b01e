package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/result"
)

// grantLease gives a dispatcher that has connected its first lease. Runs that it has
// here keep the one they have: a first frame may have been held up on its way,
// and says nothing of the present. Only an echo prolongs it.
func (r *Runner) grantLease(l *dispatcher, now time.Duration) {
	if now <= l.leaseEnd {
		return
	}
	if l.leaseEnd > 0 {
		r.stopRunsOf(l, "dispatcher silent")
	}
	l.leaseEnd = now + lease.DispatcherTTL
}

// checkDispatcherLease stops the runs of a dispatcher that has fallen silent.
func (r *Runner) checkDispatcherLease(l *dispatcher, now time.Duration) {
	if now > l.leaseEnd && !l.lapsed {
		l.lapsed = true
		r.stopRunsOf(l, "dispatcher silent")
		if l.cancel != nil {
			l.cancel()
		}
	}
	if l.cancel == nil && now > l.leaseEnd+eventRetention {
		delete(r.dispatchers, l.name)
	}
}

// stopRunsOf stops all runs of a dispatcher and refuses its waiting orders.
func (r *Runner) stopRunsOf(l *dispatcher, why string) {
	owner := l.owner()
	stopped := 0
	for _, o := range append([]*order(nil), r.queue...) {
		if o.owner == owner && r.dequeue(o.run) {
			r.refuse(o, result.LeaseLapsed)
		}
	}
	if s := r.session; s != nil {
		for _, run := range s.account.OwnedBy(owner) {
			stopped++
			r.stopRun(owner, run)
		}
	}
	r.log.Info("link: runs stopped", zap.String("dispatcher", l.name), zap.String("reason", why), zap.Int("runs", stopped))
}
