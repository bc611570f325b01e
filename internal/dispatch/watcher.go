package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// prefixWatcher watches the keys under a prefix of the store.
type prefixWatcher struct {
	store  store.Store
	log    *zap.Logger
	prefix string
	// subject names the keys in log messages.
	subject string
	// watchTimeout is how long a watch waits for a change. It is short because
	// a connection may be lost without an error.
	watchTimeout time.Duration
	// responseTimeout is the time for a response after watchTimeout, and between two parts
	// of it; retryDelay is the delay after a failed call.
	responseTimeout, retryDelay time.Duration
	// apply applies changes. If all is set, they are the complete state instead
	// of a difference.
	apply func(c store.Changes, all bool)
	// confirm, if not nil, is called after apply with the time at which the request was
	// sent: all changes until then are applied.
	confirm func(sentAt time.Duration)
	// revision is the revision after which to watch; zero reads all keys.
	revision uint64
	// failing is set while calls fail, to log only the first failure.
	failing bool
}

var errStoreSilent = result.Errorf(result.StoreUnavailable, "no response, or no further part of it, within the timeout")

// run watches until ctx ends.
func (w *prefixWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil {
			w.onFailure(err)
			clock.Sleep(ctx, w.retryDelay)
			continue
		}
		w.onSuccess()
	}
}

// poll makes one call and applies its result.
func (w *prefixWatcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(w.watchTimeout+w.responseTimeout, func() { cancel(errStoreSilent) })
	defer silence.Stop()
	ctx = store.WithProgress(ctx, func() { silence.Reset(w.responseTimeout) })
	all := w.revision == 0
	sentAt := clock.SinceBoot()
	c, err := w.store.Watch(ctx, w.prefix, w.revision, w.watchTimeout)
	if err != nil {
		return err
	}
	w.apply(c, all)
	if w.confirm != nil {
		w.confirm(sentAt)
	}
	// The revision of a response without changes is ignored: the watch may have
	// missed earlier writes. Watching again from the last change costs the
	// same.
	if all || len(c.Entries)+len(c.Deleted) > 0 {
		w.revision = c.Revision
	}
	return nil
}

func (w *prefixWatcher) onFailure(err error) {
	if result.CodeOf(err) == result.StoreCompacted {
		w.revision = 0
	}
	if !w.failing {
		w.log.Warn("store: watch of "+w.subject+" failed", zap.Uint64("revision", w.revision), zap.Error(err))
	}
	w.failing = true
}

func (w *prefixWatcher) onSuccess() {
	if w.failing {
		w.log.Info("store: watch of "+w.subject+" recovered", zap.Uint64("revision", w.revision))
	}
	w.failing = false
}
