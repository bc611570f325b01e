package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// maxWriteAttempts is the number of attempts to write a change, after which Write
// gives up if other writers were first in all of them.
const maxWriteAttempts = 8

// changeFunc returns the next document, or nil if there is nothing to change. It
// may be called again with a newer document.
type changeFunc func(d *control.Document, operation string) (*control.Document, error)

// documentWriter changes the control document in the store.
type documentWriter struct {
	store     store.Store
	control   *controlState
	storeSync *storeSync
	timeout   time.Duration
}

// Write applies a change by compare-and-swap. It returns the document that it
// wrote, or nil if there was nothing to change. If the store's answer is lost it
// reads the document back and compares the operation id. Its errors have a code
// from change or from the store, or CommandConflict if other writers were first in
// every attempt.
func (w *documentWriter) Write(ctx context.Context, change changeFunc) (*control.Document, error) {
	op := uuid.NewString()
	start := time.Now()
	earlier := writeConflict
	for range maxWriteAttempts {
		d, storeRevision, err := w.latest(ctx)
		if err != nil {
			return nil, earlier.wrapError(err)
		}
		next, err := change(d.FinishRosterChange(w.control.Acked(d.Revision)), op)
		if err != nil {
			return nil, earlier.wrapError(err)
		}
		if next == nil && w.control.StoreConfirmedAt().Before(start) {
			// The document may be outdated: read the store and check again.
			if err := w.storeSync.readDocument(ctx); err != nil {
				return nil, earlier.wrapError(err)
			}
			continue
		}
		if next == nil {
			return nil, nil
		}
		attempt, err := w.writeOnce(ctx, next, storeRevision)
		if err != nil {
			return next, earlier.wrapError(err)
		}
		if attempt == writeApplied {
			return next, nil
		}
		if attempt == writeUnknown {
			earlier = writeUnknown
		}
	}
	return nil, earlier.wrapError(result.Errorf(result.CommandConflict, "other writers changed the control document first in every attempt"))
}

// latest returns the document to change and its revision in the store.
func (w *documentWriter) latest(ctx context.Context) (*control.Document, uint64, error) {
	d, storeRevision := w.control.DocumentAndStoreRevision()
	if d == nil || storeRevision == 0 {
		if err := w.storeSync.readDocument(ctx); err != nil {
			return nil, 0, err
		}
		d, storeRevision = w.control.DocumentAndStoreRevision()
	}
	if d == nil {
		return nil, 0, result.Errorf(result.StoreNotFound, "the store has no control document yet")
	}
	return d, storeRevision, nil
}

// writeResult is the result of one attempt to write.
type writeResult int

const (
	// writeConflict means that another writer was first.
	writeConflict writeResult = iota
	writeApplied
	// writeUnknown means that the answer was lost and that the write was not in
	// the store when it was read back. It may still take effect, or another
	// write may have followed it.
	writeUnknown
)

// wrapError returns the error to report when err ends a write with an earlier
// attempt of the result r. If that attempt may have taken effect or still may, the
// code becomes StoreAnswerLost, because err could say that nothing was written.
func (r writeResult) wrapError(err error) error {
	if r != writeUnknown {
		return err
	}
	return result.Wrap(result.StoreAnswerLost, err, "an earlier attempt to write the control document may have taken effect")
}

// writeOnce makes one attempt to write the next document.
func (w *documentWriter) writeOnce(ctx context.Context, next *control.Document, expect uint64) (writeResult, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return writeConflict, result.Wrap(result.Internal, err, "cannot encode the control document")
	}
	wctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	requestedAt := time.Now()
	revision, err := w.store.CompareAndSwap(wctx, control.DocumentKey, expect, value, 0)
	switch result.CodeOf(err) {
	case result.OK:
		w.control.UpdateFromStore(next, revision, requestedAt)
		return writeApplied, nil
	case result.StoreConflict:
		applied, err := w.readBack(ctx, next)
		return appliedOr(applied, writeConflict), err
	case result.StoreAnswerLost:
		applied, err := w.awaitReadBack(ctx, next)
		return appliedOr(applied, writeUnknown), err
	}
	return writeConflict, err
}

// appliedOr returns writeApplied if the write was found in the store, and
// otherwise the given result.
func appliedOr(applied bool, otherwise writeResult) writeResult {
	if applied {
		return writeApplied
	}
	return otherwise
}

// awaitReadBack reads the document back until the store answers, and reports
// whether the write took effect. If ctx ends first that stays unknown.
func (w *documentWriter) awaitReadBack(ctx context.Context, next *control.Document) (bool, error) {
	for {
		applied, err := w.readBack(ctx, next)
		if err == nil {
			return applied, nil
		}
		if ctx.Err() != nil {
			return false, result.Errorf(result.StoreAnswerLost, "the write of the control document may have taken effect as revision %d", next.Revision)
		}
		clock.Sleep(ctx, retryDelay)
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

// inHistory reports whether the write of an operator's change took effect and
// other writes have followed it since.
func (w *documentWriter) inHistory(d, next *control.Document) bool {
	if len(next.History) == 0 {
		return false
	}
	written := next.History[len(next.History)-1]
	if written.Revision != next.Revision {
		return false
	}
	for _, h := range d.History {
		if h.Revision == written.Revision && h.Operator == written.Operator && h.Statement == written.Statement && h.At.Equal(written.At) {
			return true
		}
	}
	return false
}
