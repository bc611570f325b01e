// Package operators reads what operators decided from the store, and keeps a process's policy
// equal to it.
package operators

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

// Reader builds the policy from the operators' keys. It is safe for concurrent use.
type Reader struct {
	store  store.Store
	holder *policy.Holder
	log    *zap.Logger

	mu sync.Mutex
	// snapshot is the policy as of the last changes.
	snapshot *policy.Snapshot
}

// NewReader returns a reader that applies what it reads to the holder.
func NewReader(s store.Store, holder *policy.Holder, log *zap.Logger) *Reader {
	return &Reader{store: s, holder: holder, log: log, snapshot: &policy.Snapshot{}}
}

// Apply applies changes; if all is set, they are the complete state. A
// configuration that can't be decoded, or has a lower version, is ignored: the
// previous one stays in force, and the rest is applied.
func (o *Reader) Apply(c store.Changes, all bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
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
		t := o.holder.Transfers()
		o.log.Info("policy: applied", zap.Uint64("revision", next.Revision),
			zap.Uint64("version", next.Config.Version), zap.Strings("evacuated", next.Evacuated),
			zap.Uint64("copies", t.Copies), zap.Uint64("copy bytes", t.CopyBytes))
	}
}

// Confirm records that the store had no later changes than those applied when a request that
// was sent at the given time arrived there.
func (o *Reader) Confirm(sentAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holder.Confirm(o.snapshot.Revision, sentAt)
}

// Refresh reads all keys once, applies them if they differ from the holder's policy, and
// confirms it. A list is used because a watch may miss changes for a while.
func (o *Reader) Refresh(ctx context.Context) error {
	sentAt := clock.SinceBoot()
	c, err := o.store.Watch(ctx, platform.PrefixOperators, 0, 0)
	if err != nil {
		return err
	}
	if current := o.holder.Current(); current != nil && unchanged(current, c) {
		o.holder.Confirm(current.Revision, sentAt)
		return nil
	}
	o.Apply(c, true)
	o.Confirm(sentAt)
	return nil
}

// unchanged reports whether all keys are as they were at the policy's revision. A policy that
// is equal has no new revision, which each process would send to all others.
func unchanged(s *policy.Snapshot, all store.Changes) bool {
	var evacuated []string
	for _, e := range all.Entries {
		if e.Revision > s.Revision {
			return false
		}
		switch key := platform.ParseOperatorKey(e.Key); {
		case key.Config:
			if !bytes.Equal(e.Value, s.Document) {
				return false
			}
		case key.Evacuated != "":
			evacuated = append(evacuated, key.Evacuated)
		}
	}
	slices.Sort(evacuated)
	return slices.Equal(evacuated, s.Evacuated)
}
