package agent

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/result"
)

// drain refuses new tasks, tells the entries at once, and waits until the
// running tasks have ended and an owner has every outcome.
func (a *Agent) drain() error {
	a.gate.Leave()
	for _, st := range a.streams.list() {
		st.out.addHeartbeat()
	}
	a.log.Info("draining")
	timeout := time.NewTimer(a.settings.DrainTimeout.Std())
	defer timeout.Stop()
	for !a.drained() {
		select {
		case <-a.changed:
		case <-timeout.C:
			state := a.gate.State(a.now())
			a.log.Error("drain timed out", zap.Int("running", state.Running))
			return result.Errorf(result.OutcomeUnknown, "drain timed out with %d tasks running", state.Running)
		}
	}
	a.log.Info("drained")
	return nil
}

// drained tells whether the agent may go. An owner that lives must also have
// seen that the agent is leaving.
func (a *Agent) drained() bool {
	if a.gate.State(a.now()).Running > 0 || !a.delivery.settled() {
		return false
	}
	owner := a.delivery.current()
	return owner == nil || owner.leavingEchoed.Load()
}
