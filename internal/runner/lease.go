package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/result"
)

// grant gives a dispatcher that has connected its first lease. Runs that it has
// here keep the one they have: a first frame may have been held up on its way,
// and says nothing of the present. Only an echo prolongs it.
func (r *Runner) grant(l *link, now time.Duration) {
	if now <= l.leaseEnd {
		return
	}
	if l.leaseEnd > 0 {
		r.stopOwned(l, "dispatcher silent")
	}
	l.leaseEnd = now + lease.Dispatcher
}

// checkLink stops the runs of a dispatcher that has fallen silent.
func (r *Runner) checkLink(l *link, now time.Duration) {
	if now > l.leaseEnd && !l.lapsed {
		l.lapsed = true
		r.stopOwned(l, "dispatcher silent")
		if l.cancel != nil {
			l.cancel()
		}
	}
	if l.cancel == nil && now > l.leaseEnd+forgetAfter {
		delete(r.links, l.name)
	}
}

// stopOwned stops all runs of a dispatcher and refuses its waiting orders.
func (r *Runner) stopOwned(l *link, why string) {
	owner := l.owner()
	stopped := 0
	for _, o := range append([]*order(nil), r.waiting...) {
		if o.owner == owner && r.dropWaiting(o.run) {
			r.refuse(o, result.LeaseLapsed)
		}
	}
	if s := r.session; s != nil {
		for _, run := range s.account.OwnedBy(owner) {
			stopped++
			r.stop(owner, run)
		}
	}
	r.log.Info("link: runs stopped", zap.String("dispatcher", l.name), zap.String("reason", why), zap.Int("runs", stopped))
}
