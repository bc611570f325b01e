package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// prefixWatcher keeps up with the keys under a prefix of the store.
type prefixWatcher struct {
	store  store.Store
	log    *zap.Logger
	prefix string
	// subject names the keys in log lines.
	subject string
	// watchTimeout is how long a watch waits for a change; a connection may fall
	// silent, so it is short.
	watchTimeout time.Duration
	// timeout is the time for the answer beside wait, pause the time after a
	// call that failed.
	responseTimeout, retryDelay time.Duration
	// apply takes changes over; all is set when they are everything there is.
	apply func(c store.Changes, all bool)
	// revision is the revision to watch from; zero asks for all keys.
	revision uint64
	// failing is set while the store can't be followed.
	failing bool
}

// run follows until ctx ends.
func (f *prefixWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil {
			f.onFailure(err)
			clock.Sleep(ctx, f.retryDelay)
			continue
		}
		f.onSuccess()
	}
}

// poll makes one call and takes its answer over.
func (f *prefixWatcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.watchTimeout+f.responseTimeout)
	defer cancel()
	all := f.revision == 0
	c, err := f.store.Watch(ctx, f.prefix, f.revision, f.watchTimeout)
	if err != nil {
		return err
	}
	f.apply(c, all)
	// The revision of an answer without changes is not trusted: a watch may
	// have missed what was written meanwhile. Asking again from the last change
	// costs the same.
	if all || len(c.Entries)+len(c.Deleted) > 0 {
		f.revision = c.Revision
	}
	return nil
}

func (f *prefixWatcher) onFailure(err error) {
	if result.CodeOf(err) == result.StoreCompacted {
		f.revision = 0
	}
	if !f.failing {
		f.log.Warn("store: "+f.subject+" can't be followed", zap.Uint64("revision", f.revision), zap.Error(err))
	}
	f.failing = true
}

func (f *prefixWatcher) onSuccess() {
	if f.failing {
		f.log.Info("store: "+f.subject+" can be followed again", zap.Uint64("revision", f.revision))
	}
	f.failing = false
}
