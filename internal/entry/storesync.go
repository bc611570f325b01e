package entry

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// watchTimeout is how long one watch of the store waits for a change.
const watchTimeout = 10 * time.Second

// retryDelay is the pause after a failed call to the store.
const retryDelay = 200 * time.Millisecond

// storeSync keeps the board's document as new as the store's: a watch brings
// changes at once, and a read once per confirmation interval proves that
// there are none.
type storeSync struct {
	store           store.Store
	control         *controlState
	confirmInterval time.Duration
	timeout         time.Duration
	log             *zap.Logger
	// readNow asks for a confirmation before the interval is over.
	readNow chan struct{}
}

func (s *storeSync) runConfirm(ctx context.Context) {
	tick := time.NewTicker(s.confirmInterval)
	defer tick.Stop()
	away := false
	for {
		err := s.readDocument(ctx)
		if (err != nil) != away && ctx.Err() == nil {
			away = err != nil
			s.logState(away, err)
		}
		select {
		case <-tick.C:
		case <-s.readNow:
		case <-ctx.Done():
			return
		}
	}
}

func (s *storeSync) logState(away bool, err error) {
	if away {
		s.log.Warn("the store does not answer", zap.Error(err))
		return
	}
	s.log.Info("the store answers")
}

// RequestRead asks for a confirmation now.
func (s *storeSync) RequestRead() {
	select {
	case s.readNow <- struct{}{}:
	default:
	}
}

// readDocument asks for the document once; the value comes only if it has changed.
func (s *storeSync) readDocument(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	asked := time.Now()
	_, known := s.control.DocumentAndStoreRevision()
	e, err := s.store.GetNewer(ctx, control.DocumentKey, known)
	if result.CodeOf(err) == result.StoreNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	if known != 0 && e.Revision == known {
		s.control.ConfirmFromStore(known, asked)
		return nil
	}
	var d control.Document
	if err := json.Unmarshal(e.Value, &d); err != nil {
		return result.Wrap(result.Internal, err, "control document")
	}
	s.control.UpdateFromStore(&d, e.Revision, asked)
	return nil
}

func (s *storeSync) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		_, revision := s.control.DocumentAndStoreRevision()
		if revision == 0 {
			s.RequestRead()
			sleep(ctx, retryDelay)
			continue
		}
		wctx, cancel := context.WithTimeout(ctx, watchTimeout+s.timeout)
		ch, err := s.store.Watch(wctx, control.DocumentKey, revision, watchTimeout)
		cancel()
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		if len(ch.Entries) > 0 {
			s.RequestRead()
			s.awaitChange(ctx, revision)
		}
	}
}

// awaitChange waits a moment for the read that a change asked for.
func (s *storeSync) awaitChange(ctx context.Context, revision uint64) {
	until := time.Now().Add(s.confirmInterval)
	for ctx.Err() == nil && time.Now().Before(until) {
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
