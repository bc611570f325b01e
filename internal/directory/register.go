package directory

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

const (
	// recordTTL is how long a record stays in the store after its process has
	// ended.
	recordTTL = 20 * time.Second
	// renewInterval is the time between two renewals of the record's lease.
	renewInterval = 4 * time.Second
	// callTimeout limits a call to the store.
	callTimeout = time.Second
	// minBackoff and maxBackoff limit the time between failed attempts to write
	// the record.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Registrar keeps the record of one process in the store.
type Registrar struct {
	Store store.Store
	Node  Node
	Log   *zap.Logger
	// Written, if not nil, is called each time the record has been written.
	Written func()
}

// Run writes the record and renews its lease until ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			r.Log.Warn("directory: cannot write record to store, retrying", zap.Error(err), zap.Duration("again_in", backoff))
			clock.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		r.Log.Info("directory: record written", zap.String("name", r.Node.Name), zap.String("address", r.Node.Address))
		if r.Written != nil {
			r.Written()
		}
		backoff = minBackoff
		r.renew(ctx, lease)
	}
}

// register writes the record under a new lease. Each call has its own time limit, so that one
// whose answer is lost is soon repeated.
func (r *Registrar) register(ctx context.Context) (store.LeaseID, error) {
	value, err := json.Marshal(r.Node)
	if err != nil {
		return 0, err
	}
	lease, err := r.grant(ctx)
	if err != nil {
		return 0, err
	}
	err = r.write(ctx, value, 0, lease)
	if result.CodeOf(err) != result.StoreConflict {
		return lease, err
	}
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	old, err := r.Store.Get(readCtx, r.Node.Key())
	cancel()
	if err != nil {
		return 0, err
	}
	return lease, r.write(ctx, value, old.Revision, lease)
}

func (r *Registrar) grant(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.Grant(ctx, recordTTL)
}

// write writes the record if its revision is the expected one.
func (r *Registrar) write(ctx context.Context, value []byte, expect uint64, lease store.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.Store.CompareAndSwap(ctx, r.Node.Key(), expect, value, lease)
	return err
}

// renew renews the lease until the lease or ctx has ended.
func (r *Registrar) renew(ctx context.Context, lease store.LeaseID) {
	for clock.Sleep(ctx, renewInterval) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.Store.KeepAlive(callCtx, lease)
		cancel()
		switch result.CodeOf(err) {
		case result.OK:
		case result.StoreLeaseExpired:
			r.Log.Warn("directory: lease of record has expired, writing record again", zap.Error(err))
			return
		default:
			r.Log.Warn("directory: cannot renew lease of record", zap.Error(err))
		}
	}
}
