package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// policyWait is how long a watch of the operators' keys waits; a
	// connection may fall silent, so it is short.
	policyWait = time.Second
	// policyTimeout is the time for the answer beside policyWait.
	policyTimeout = 400 * time.Millisecond
	// policyPause is the pause after a call that failed.
	policyPause = 100 * time.Millisecond
)

// followOperators keeps the board at what operators write to the store, until
// ctx ends.
func followOperators(ctx context.Context, s store.Store, board *policy.Board, log *zap.Logger) {
	f := &follower{store: s, board: board, log: log}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(err)
			clock.Sleep(ctx, policyPause)
			continue
		}
		f.back()
	}
}

// follower is what followOperators remembers.
type follower struct {
	store store.Store
	board *policy.Board
	log   *zap.Logger
	state *policy.State
	// at is the revision to watch from; zero asks for all keys.
	at  uint64
	out bool
}

func (f *follower) failed(err error) {
	if result.CodeOf(err) == result.StoreCompacted {
		f.at = 0
	}
	if !f.out {
		f.log.Warn("store: operators' keys can't be followed", zap.Error(err))
	}
	f.out = true
}

func (f *follower) back() {
	if f.out {
		f.log.Info("store: operators' keys are followed again", zap.Uint64("revision", f.at))
	}
	f.out = false
}

// step makes one call and takes its answer over.
func (f *follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, policyWait+policyTimeout)
	defer cancel()
	all := f.at == 0
	c, err := f.store.Watch(ctx, platform.PrefixOperators, f.at, policyWait)
	if err != nil {
		return err
	}
	if all {
		f.state = &policy.State{}
	}
	if !all && len(c.Entries)+len(c.Deleted) == 0 {
		// The revision of an answer without changes is not trusted: a watch
		// may have missed what was written meanwhile. Asking again from the
		// last change costs the same.
		return nil
	}
	f.at = c.Revision
	f.apply(c)
	return nil
}

// apply takes changes over. What can't be read leaves the rest in force.
func (f *follower) apply(c store.Changes) {
	next := *f.state
	for _, e := range c.Entries {
		switch key := platform.ParseOperatorKey(e.Key); {
		case key.Config:
			config, err := platform.DecodeConfig(e.Value)
			if err != nil {
				f.log.Warn("policy: configuration refused", zap.Uint64("revision", e.Revision), zap.Error(err))
				continue
			}
			next.Config, next.Document = config, e.Value
		case key.Evacuated != "":
			next = *next.With(key.Evacuated, true)
		}
	}
	for _, key := range c.Deleted {
		if domain := platform.ParseOperatorKey(key).Evacuated; domain != "" {
			next = *next.With(domain, false)
		}
	}
	next.Revision = c.Revision
	f.state = &next
	if next.Config != nil && f.board.Apply(&next) {
		f.log.Info("policy: in force", zap.Uint64("revision", next.Revision),
			zap.Uint64("version", next.Config.Version), zap.Strings("evacuated", next.Evacuated))
	}
}
