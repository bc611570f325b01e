package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// maxWriteAttempts bounds the tries of one change against other writers.
const maxWriteAttempts = 8

// changeFunc makes the next document; nil means that nothing is to be
// changed. It may be called again with a newer document.
type changeFunc func(d *control.Document, operation string) (*control.Document, error)

// documentWriter changes the control document in the store.
type documentWriter struct {
	store     store.Store
	control   *controlState
	storeSync *storeSync
	timeout   time.Duration
}

// Write applies a change by compare-and-swap and returns the document that it
// made, or nil when there was nothing to change. After a lost answer it reads
// back and compares the operation id. Its errors carry the codes of change,
// of the store, or CommandConflict when others always came first.
func (w *documentWriter) Write(ctx context.Context, change changeFunc) (*control.Document, error) {
	operation := uuid.NewString()
	began := time.Now()
	last := writeConflict
	for range maxWriteAttempts {
		d, storeRevision, err := w.latest(ctx)
		if err != nil {
			return nil, last.wrapError(err)
		}
		next, err := change(d.FinishRosterChange(w.control.Acked(d.Revision)), operation)
		if err != nil {
			return nil, err
		}
		if next == nil && w.control.StoreConfirmedAt().Before(began) {
			// An old document proves nothing: ask the store and look again.
			if err := w.storeSync.readDocument(ctx); err != nil {
				return nil, err
			}
			continue
		}
		if next == nil {
			return nil, nil
		}
		swapped, err := w.writeOnce(ctx, next, storeRevision)
		if err != nil {
			return next, last.wrapError(err)
		}
		if swapped == writeApplied {
			return next, nil
		}
		last = swapped
	}
	return nil, last.wrapError(result.Errorf(result.CommandConflict, "other writers always came first"))
}

// latest returns the document to change with the store's revision of it.
func (w *documentWriter) latest(ctx context.Context) (*control.Document, uint64, error) {
	d, storeRevision := w.control.DocumentAndStoreRevision()
	if d == nil || storeRevision == 0 {
		if err := w.storeSync.readDocument(ctx); err != nil {
			return nil, 0, err
		}
		d, storeRevision = w.control.DocumentAndStoreRevision()
	}
	if d == nil {
		return nil, 0, result.Errorf(result.StoreNotFound, "there is no control document yet")
	}
	return d, storeRevision, nil
}

// writeResult is what became of one attempt to write.
type writeResult int

const (
	// writeConflict tells that another writer came first.
	writeConflict writeResult = iota
	writeApplied
	// writeUnknown tells that the answer was lost and that the store did not
	// hold the write when it was read. It may still take effect.
	writeUnknown
)

// wrapError returns the error of a write after an attempt: it must not say that
// there was no effect while the attempt may still have one.
func (r writeResult) wrapError(err error) error {
	if r != writeUnknown {
		return err
	}
	return result.Wrap(result.StoreAnswerLost, err, "an earlier attempt may take effect")
}

// writeOnce writes once.
func (w *documentWriter) writeOnce(ctx context.Context, next *control.Document, expect uint64) (writeResult, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return writeConflict, result.Wrap(result.Internal, err, "control document")
	}
	sctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	asked := time.Now()
	revision, err := w.store.CompareAndSwap(sctx, control.DocumentKey, expect, value, 0)
	switch result.CodeOf(err) {
	case result.OK:
		w.control.UpdateFromStore(next, revision, asked)
		return writeApplied, nil
	case result.StoreConflict:
		done, err := w.readBack(ctx, next)
		return appliedOr(done, writeConflict), err
	case result.StoreAnswerLost:
		done, err := w.awaitReadBack(ctx, next)
		return appliedOr(done, writeUnknown), err
	}
	return writeConflict, err
}

// appliedOr is swapDone if the write was found in the store.
func appliedOr(done bool, otherwise writeResult) writeResult {
	if done {
		return writeApplied
	}
	return otherwise
}

// awaitReadBack reads until the store answers whether a write took effect. If
// it cannot be told in time the write stays in doubt.
func (w *documentWriter) awaitReadBack(ctx context.Context, next *control.Document) (bool, error) {
	for {
		done, err := w.readBack(ctx, next)
		if err == nil {
			return done, nil
		}
		if ctx.Err() != nil {
			return false, result.Errorf(result.StoreAnswerLost, "the write may have taken effect as revision %d", next.Revision)
		}
		sleep(ctx, retryDelay)
	}
}

func (w *documentWriter) readBack(ctx context.Context, next *control.Document) (bool, error) {
	if err := w.storeSync.readDocument(ctx); err != nil {
		return false, err
	}
	d := w.control.Document()
	if d.Operation == next.Operation {
		return true, nil
	}
	return d.Revision > next.Revision && w.inHistory(d, next), nil
}

// inHistory tells whether an operator's change was made by this write and has
// been followed by others since.
func (w *documentWriter) inHistory(d, next *control.Document) bool {
	if len(next.History) == 0 {
		return false
	}
	mine := next.History[len(next.History)-1]
	if mine.Revision != next.Revision {
		return false
	}
	for _, h := range d.History {
		if h.Revision == mine.Revision && h.Operator == mine.Operator && h.Statement == mine.Statement && h.At.Equal(mine.At) {
			return true
		}
	}
	return false
}
