package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// policyWatchTimeout, policyResponseTimeout and policyRetryDelay are the
	// times of the watcher of the operators' keys.
	policyWatchTimeout    = time.Second
	policyResponseTimeout = 400 * time.Millisecond
	policyRetryDelay      = 100 * time.Millisecond
)

// newOperatorWatcher returns a watcher that keeps the policy equal to what
// operators write to the store.
func newOperatorWatcher(s store.Store, holder *policy.Holder, log *zap.Logger) *prefixWatcher {
	o := &operatorPolicy{holder: holder, log: log, snapshot: &policy.Snapshot{}}
	return &prefixWatcher{
		store: s, log: log, prefix: platform.PrefixOperators, subject: "operators' keys",
		watchTimeout: policyWatchTimeout, responseTimeout: policyResponseTimeout, retryDelay: policyRetryDelay, apply: o.apply,
	}
}

// operatorPolicy builds the policy from the operators' keys.
type operatorPolicy struct {
	holder   *policy.Holder
	log      *zap.Logger
	snapshot *policy.Snapshot
}

// apply applies changes; if all is set, they are the complete state. A
// configuration that can't be decoded, or has a lower version, is ignored: the
// previous one stays in force, and the rest is applied.
func (o *operatorPolicy) apply(c store.Changes, all bool) {
	if all {
		o.snapshot = &policy.Snapshot{}
		if current := o.holder.Current(); current != nil {
			o.snapshot.Config, o.snapshot.Document = current.Config, current.Document
		}
	} else if len(c.Entries)+len(c.Deleted) == 0 {
		return
	}
	next := *o.snapshot
	for _, e := range c.Entries {
		switch key := platform.ParseOperatorKey(e.Key); {
		case key.Config:
			config, err := platform.DecodeConfig(e.Value)
			if err != nil {
				o.log.Warn("policy: invalid configuration ignored", zap.Uint64("revision", e.Revision), zap.Error(err))
				continue
			}
			if next.Config != nil && config.Version < next.Config.Version {
				o.log.Warn("policy: configuration of a lower version ignored", zap.Uint64("revision", e.Revision),
					zap.Uint64("version", config.Version), zap.Uint64("current", next.Config.Version))
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
		o.log.Info("policy: applied", zap.Uint64("revision", next.Revision),
			zap.Uint64("version", next.Config.Version), zap.Strings("evacuated", next.Evacuated))
	}
}
