package agent

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/result"
)

// drain refuses new tasks, notifies the entries at once, and waits until the
// running tasks have ended and an owner has confirmed every outcome.
func (a *Agent) drain() error {
	a.gate.SetLeaving()
	for _, st := range a.streams.list() {
		st.outbox.addHeartbeat()
	}
	a.log.Info("draining")
	timeout := time.NewTimer(a.settings.DrainTimeout.Std())
	defer timeout.Stop()
	for !a.readyToExit() {
		select {
		case <-a.drainWakeup:
		case <-timeout.C:
			state := a.gate.State(a.now())
			a.log.Error("drain timed out", zap.Int("running", state.Running))
			return result.Errorf(result.OutcomeUnknown, "drain timed out with %d tasks running", state.Running)
		}
	}
	a.log.Info("drained")
	return nil
}

// readyToExit reports whether the agent may exit. If there is an owner stream,
// its entry must also have answered a heartbeat that says that the agent is
// leaving.
func (a *Agent) readyToExit() bool {
	if a.gate.State(a.now()).Running > 0 || !a.delivery.allConfirmed() {
		return false
	}
	owner := a.delivery.ownerStream()
	return owner == nil || owner.leavingConfirmed.Load()
}
