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

// watchWait is how long one watch of the store waits for a change.
const watchWait = 10 * time.Second

// retryPause is the pause after a failed call to the store.
const retryPause = 200 * time.Millisecond

// storeSync keeps the board's document as new as the store's: a watch brings
// changes at once, and a read once per confirmation interval proves that
// there are none.
type storeSync struct {
	store   store.Store
	board   *board
	confirm time.Duration
	timeout time.Duration
	log     *zap.Logger
	// now asks for a confirmation before the interval is over.
	now chan struct{}
}

func (s *storeSync) runConfirm(ctx context.Context) {
	tick := time.NewTicker(s.confirm)
	defer tick.Stop()
	away := false
	for {
		err := s.read(ctx)
		if (err != nil) != away && ctx.Err() == nil {
			away = err != nil
			s.logState(away, err)
		}
		select {
		case <-tick.C:
		case <-s.now:
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

// Soon asks for a confirmation now.
func (s *storeSync) Soon() {
	select {
	case s.now <- struct{}{}:
	default:
	}
}

// read asks for the document once; the value comes only if it has changed.
func (s *storeSync) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	asked := time.Now()
	_, known := s.board.StoreRevision()
	e, err := s.store.GetNewer(ctx, control.DocumentKey, known)
	if result.CodeOf(err) == result.StoreNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	if known != 0 && e.Revision == known {
		s.board.StoreUnchanged(known, asked)
		return nil
	}
	var d control.Document
	if err := json.Unmarshal(e.Value, &d); err != nil {
		return result.Wrap(result.Internal, err, "control document")
	}
	s.board.FromStore(&d, e.Revision, asked)
	return nil
}

func (s *storeSync) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		_, revision := s.board.StoreRevision()
		if revision == 0 {
			s.Soon()
			pause(ctx, retryPause)
			continue
		}
		wctx, cancel := context.WithTimeout(ctx, watchWait+s.timeout)
		ch, err := s.store.Watch(wctx, control.DocumentKey, revision, watchWait)
		cancel()
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		if len(ch.Entries) > 0 {
			s.Soon()
			s.awaitChange(ctx, revision)
		}
	}
}

// awaitChange waits a moment for the read that a change asked for.
func (s *storeSync) awaitChange(ctx context.Context, revision uint64) {
	until := time.Now().Add(s.confirm)
	for ctx.Err() == nil && time.Now().Before(until) {
		changed := s.board.Changed()
		if _, r := s.board.StoreRevision(); r != revision {
			return
		}
		select {
		case <-changed:
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
