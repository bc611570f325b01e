package entry

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/control"
)

// shutDown ends the entry without cutting a request in progress.
func (e *Entry) shutDown(servers []*http.Server) {
	e.log.Info("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout.Std())
	defer cancel()
	e.control.SetLeaving()
	if err := e.withStoreDeadline(ctx, e.ownership.HandOver); err != nil {
		e.log.Warn("cells not handed over", zap.Error(err))
		e.awaitIdle(ctx)
	}
	// /ready sends the balancer elsewhere; who still comes here is served.
	sleep(ctx, e.settings.DrainDelay.Std())
	e.closing.Store(true)
	if err := servers[0].Shutdown(ctx); err != nil {
		e.log.Warn("callers' requests cut", zap.Error(err))
	}
	if err := e.withStoreDeadline(ctx, e.leaveRoster); err != nil {
		e.log.Warn("still on the roster", zap.Error(err))
	}
	e.log.Info("shut down")
}

// storeTimeoutsPerStep is how many times the store's time limit a step of a
// shutdown may wait for the store.
const storeTimeoutsPerStep = 3

// withStoreDeadline bounds a step of the shutdown that needs the store.
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

// awaitIdle waits until the own cells have nothing in progress.
func (e *Entry) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		idle := e.relay.InProgress() == 0
		for _, c := range e.ownership.Cells() {
			idle = idle && c.Idle()
		}
		if idle {
			return
		}
		sleep(ctx, retryDelay)
	}
}
