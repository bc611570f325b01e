package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// follower keeps up with the keys under a prefix of the store.
type follower struct {
	store  store.Store
	log    *zap.Logger
	prefix string
	// what names the keys in log lines.
	what string
	// wait is how long a watch waits for a change; a connection may fall
	// silent, so it is short.
	wait time.Duration
	// timeout is the time for the answer beside wait, pause the time after a
	// call that failed.
	timeout, pause time.Duration
	// apply takes changes over; all is set when they are everything there is.
	apply func(c store.Changes, all bool)
	// at is the revision to watch from; zero asks for all keys.
	at uint64
	// out is set while the store can't be followed.
	out bool
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(err)
			clock.Sleep(ctx, f.pause)
			continue
		}
		f.back()
	}
}

// step makes one call and takes its answer over.
func (f *follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.wait+f.timeout)
	defer cancel()
	all := f.at == 0
	c, err := f.store.Watch(ctx, f.prefix, f.at, f.wait)
	if err != nil {
		return err
	}
	f.apply(c, all)
	// The revision of an answer without changes is not trusted: a watch may
	// have missed what was written meanwhile. Asking again from the last change
	// costs the same.
	if all || len(c.Entries)+len(c.Deleted) > 0 {
		f.at = c.Revision
	}
	return nil
}

func (f *follower) failed(err error) {
	if result.CodeOf(err) == result.StoreCompacted {
		f.at = 0
	}
	if !f.out {
		f.log.Warn("store: "+f.what+" can't be followed", zap.Uint64("revision", f.at), zap.Error(err))
	}
	f.out = true
}

func (f *follower) back() {
	if f.out {
		f.log.Info("store: "+f.what+" can be followed again", zap.Uint64("revision", f.at))
	}
	f.out = false
}
