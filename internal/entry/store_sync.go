package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// watchTimeout is how long one watch call to the store waits for a change.
const watchTimeout = 10 * time.Second

// retryDelay is the delay before a failed call to the store is retried.
const retryDelay = 200 * time.Millisecond

// storeSync keeps the document in the control state up to date with the store. A
// watch reports changes immediately, and a read once per confirmation interval
// confirms that there are none.
type storeSync struct {
	store           store.Store
	control         *controlState
	confirmInterval time.Duration
	timeout         time.Duration
	log             *zap.Logger
	// readNow requests a read before the interval has passed.
	readNow chan struct{}
}

func (s *storeSync) runConfirm(ctx context.Context) {
	tick := time.NewTicker(s.confirmInterval)
	defer tick.Stop()
	failing := false
	for {
		err := s.readDocument(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			s.logState(failing, err)
		}
		select {
		case <-tick.C:
		case <-s.readNow:
		case <-ctx.Done():
			return
		}
	}
}

func (s *storeSync) logState(failing bool, err error) {
	if failing {
		s.log.Warn("could not read the control document from the store", zap.Error(err))
		return
	}
	s.log.Info("the store answers again")
}

// RequestRead requests an immediate read of the document.
func (s *storeSync) RequestRead() {
	select {
	case s.readNow <- struct{}{}:
	default:
	}
}

// readDocument reads the document once and records the result in the control
// state. The store sends the document only if it has changed.
func (s *storeSync) readDocument(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	requestedAt := time.Now()
	_, known := s.control.DocumentAndStoreRevision()
	e, err := s.store.GetNewer(ctx, control.DocumentKey, known)
	if result.CodeOf(err) == result.StoreNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	if known != 0 && e.Revision == known {
		s.control.ConfirmFromStore(known, requestedAt)
		return nil
	}
	d, err := control.Decode(e.Value)
	if err != nil {
		return err
	}
	s.control.UpdateFromStore(d, e.Revision, requestedAt)
	return nil
}

func (s *storeSync) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		_, revision := s.control.DocumentAndStoreRevision()
		if revision == 0 {
			s.RequestRead()
			clock.Sleep(ctx, retryDelay)
			continue
		}
		wctx, cancel := context.WithTimeout(ctx, watchTimeout+s.timeout)
		changes, err := s.store.Watch(wctx, control.DocumentKey, revision, watchTimeout)
		cancel()
		if err != nil {
			clock.Sleep(ctx, retryDelay)
			continue
		}
		if len(changes.Entries) > 0 {
			s.RequestRead()
			s.awaitChange(ctx, revision)
		}
	}
}

// awaitChange waits for the read that follows a change, at most one confirmation
// interval.
func (s *storeSync) awaitChange(ctx context.Context, revision uint64) {
	deadline := time.Now().Add(s.confirmInterval)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		changed := s.control.Changed()
		if _, r := s.control.DocumentAndStoreRevision(); r != revision {
			return
		}
		select {
		case <-changed:
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}
