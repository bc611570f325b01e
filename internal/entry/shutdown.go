package entry

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/control"
)

// shutDown shuts the entry down without cutting off requests in progress.
func (e *Entry) shutDown(servers []*http.Server) {
	e.log.Info("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout.Std())
	defer cancel()
	e.control.SetLeaving()
	if err := e.withStoreDeadline(ctx, e.ownership.HandOver); err != nil {
		e.log.Warn("could not hand over cells; waiting until they are idle", zap.Error(err))
		e.awaitIdle(ctx)
	}
	// /ready now makes the load balancer route callers to other entries. Callers
	// that still arrive here are served.
	clock.Sleep(ctx, e.settings.DrainDelay.Std())
	e.closing.Store(true)
	if err := servers[0].Shutdown(ctx); err != nil {
		e.log.Warn("shutdown cut off requests of callers", zap.Error(err))
	}
	if err := e.withStoreDeadline(ctx, e.leaveRoster); err != nil {
		e.log.Warn("could not leave the roster", zap.Error(err))
	}
	e.log.Info("shutdown complete")
}

// storeTimeoutsPerStep bounds how long one step of a shutdown waits for the
// store, as a multiple of Settings.StoreTimeout.
const storeTimeoutsPerStep = 3

// withStoreDeadline runs a step of the shutdown that calls the store, and bounds
// its time.
func (e *Entry) withStoreDeadline(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeoutsPerStep*e.settings.StoreTimeout.Std())
	defer cancel()
	return step(ctx)
}

func (e *Entry) leaveRoster(ctx context.Context) error {
	e.control.SetDeparted()
	_, err := e.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		if !d.HasMember(e.id) {
			return nil, nil
		}
		return control.RemoveMember(d, e.id, op, true, e.control.Acked(d.Revision))
	})
	return err
}

// awaitIdle waits until this entry's cells and its relay have no work in
// progress.
func (e *Entry) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		idle := e.relay.InProgress() == 0
		for _, c := range e.ownership.Cells() {
			idle = idle && c.Idle()
		}
		if idle {
			return
		}
		clock.Sleep(ctx, retryDelay)
	}
}
