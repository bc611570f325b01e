package runner

import (
	"io"
	"net/http"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// serveHeartbeat takes what the endpoint says of itself. A heartbeat that can't be
// read changes nothing.
func (r *Runner) serveHeartbeat(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ep, err := platform.DecodeHeartbeat(req.PathValue("id"), body)
	if err != nil {
		r.log.Warn("heartbeat: refused", zap.String("endpoint", req.PathValue("id")), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.applyEndpointHeartbeat(ep)
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// applyEndpointHeartbeat takes a heartbeat over. It is called with the lock held.
func (r *Runner) applyEndpointHeartbeat(ep *workload.Endpoint) {
	s := r.session
	switch {
	case s != nil && s.endpoint.ID == ep.ID && s.endpoint.Address == ep.Address && ep.StartedAtMS > s.endpoint.StartedAtMS:
		r.restartSession(s, ep, clock.SinceBoot())
		s.account.SetCapacity(ep.Capacity)
	case s == nil || (s.endpoint.Incarnation() != ep.Incarnation() && ep.Newer(s.endpoint)):
		r.startSession(ep)
	case s.endpoint.Incarnation() == ep.Incarnation() && ep.Newer(s.endpoint):
		r.updateEndpoint(s, ep)
	default:
		r.log.Info("heartbeat: older than the one known", zap.String("life", ep.Incarnation()),
			zap.String("known", s.endpoint.Incarnation()), zap.Int64("sequence", ep.Sequence))
		return
	}
	r.markStateChanged()
}

// updateEndpoint takes over a later heartbeat of the same life.
func (r *Runner) updateEndpoint(s *session, ep *workload.Endpoint) {
	if ep.Draining && !s.endpoint.Draining {
		r.log.Info("endpoint: leaving", zap.String("life", ep.Incarnation()), zap.Int("running", s.account.RunCount()))
	}
	s.endpoint = ep
	s.account.SetCapacity(ep.Capacity)
	if ep.Draining {
		r.refuseQueued()
	}
}

// serveDeregister takes the endpoint's last call before its planned end.
func (r *Runner) serveDeregister(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	r.mu.Lock()
	if s := r.session; s != nil && s.endpoint.ID == id {
		r.log.Info("endpoint: gone", zap.String("life", s.endpoint.Incarnation()))
		s.endpoint.Draining = true
		r.refuseQueued()
		r.markStateChanged()
	}
	r.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
