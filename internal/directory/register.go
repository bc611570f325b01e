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
		backoff = minBackoff
		r.renew(ctx, lease)
	}
}

// register writes the record under a new lease.
func (r *Registrar) register(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	value, err := json.Marshal(r.Node)
	if err != nil {
		return 0, err
	}
	lease, err := r.Store.Grant(ctx, recordTTL)
	if err != nil {
		return 0, err
	}
	key := Prefix + r.Node.Name
	_, err = r.Store.CompareAndSwap(ctx, key, 0, value, lease)
	if result.CodeOf(err) != result.StoreConflict {
		return lease, err
	}
	old, err := r.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	_, err = r.Store.CompareAndSwap(ctx, key, old.Revision, value, lease)
	return lease, err
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
