package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// policyWait, policyTimeout and policyPause are the follower's times for
	// the operators' keys.
	policyWait    = time.Second
	policyTimeout = 400 * time.Millisecond
	policyPause   = 100 * time.Millisecond
)

// followOperators returns a follower that keeps the board at what operators
// write to the store.
func followOperators(s store.Store, board *policy.Board, log *zap.Logger) *follower {
	o := &operators{board: board, log: log, state: &policy.State{}}
	return &follower{
		store: s, log: log, prefix: platform.PrefixOperators, what: "operators' keys",
		wait: policyWait, timeout: policyTimeout, pause: policyPause, apply: o.apply,
	}
}

// operators is what the operators have written.
type operators struct {
	board *policy.Board
	log   *zap.Logger
	state *policy.State
}

// apply takes changes over. What can't be read leaves the rest in force.
func (o *operators) apply(c store.Changes, all bool) {
	if all {
		o.state = &policy.State{}
	} else if len(c.Entries)+len(c.Deleted) == 0 {
		return
	}
	next := *o.state
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
			next = *next.With(key.Evacuated, true)
		}
	}
	for _, key := range c.Deleted {
		if domain := platform.ParseOperatorKey(key).Evacuated; domain != "" {
			next = *next.With(domain, false)
		}
	}
	next.Revision = c.Revision
	o.state = &next
	if next.Config != nil && o.board.Apply(&next) {
		o.log.Info("policy: in force", zap.Uint64("revision", next.Revision),
			zap.Uint64("version", next.Config.Version), zap.Strings("evacuated", next.Evacuated))
	}
}
