package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// policyWatchTimeout, policyTimeout and policyPause are the follower's times for
	// the operators' keys.
	policyWatchTimeout    = time.Second
	policyResponseTimeout = 400 * time.Millisecond
	policyRetryDelay      = 100 * time.Millisecond
)

// newOperatorWatcher returns a follower that keeps the board at what operators
// write to the store.
func newOperatorWatcher(s store.Store, board *policy.Holder, log *zap.Logger) *prefixWatcher {
	o := &operatorPolicy{holder: board, log: log, snapshot: &policy.Snapshot{}}
	return &prefixWatcher{
		store: s, log: log, prefix: platform.PrefixOperators, subject: "operators' keys",
		watchTimeout: policyWatchTimeout, responseTimeout: policyResponseTimeout, retryDelay: policyRetryDelay, apply: o.apply,
	}
}

// operatorPolicy is what the operators have written.
type operatorPolicy struct {
	holder   *policy.Holder
	log      *zap.Logger
	snapshot *policy.Snapshot
}

// apply takes changes over. What can't be read leaves the rest in force.
func (o *operatorPolicy) apply(c store.Changes, all bool) {
	if all {
		o.snapshot = &policy.Snapshot{}
	} else if len(c.Entries)+len(c.Deleted) == 0 {
		return
	}
	next := *o.snapshot
	for _, e := range c.Entries {
		switch key := platform.ParseOperatorKey(e.Key); {
		case key.Config:
			config, err := platform.DecodeConfig(e.Value)
			if err != nil {
				o.log.Warn("policy: configuration refused", zap.Uint64("revision", e.Revision), zap.Error(err))
				continue
			}
			next.Config, next.Document = config, e.Value
		case key.Evacuated != "":
			next = *next.WithEvacuated(key.Evacuated, true)
		}
	}
	for _, key := range c.Deleted {
		if domain := platform.ParseOperatorKey(key).Evacuated; domain != "" {
			next = *next.WithEvacuated(domain, false)
		}
	}
	next.Revision = c.Revision
	o.snapshot = &next
	if next.Config != nil && o.holder.Apply(&next) {
		o.log.Info("policy: in force", zap.Uint64("revision", next.Revision),
			zap.Uint64("version", next.Config.Version), zap.Strings("evacuated", next.Evacuated))
	}
}
