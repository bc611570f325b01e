package runner

import (
	"io"
	"net/http"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform"
)

// heartbeat takes what the endpoint says of itself. A heartbeat that can't be
// read changes nothing.
func (r *Runner) heartbeat(w http.ResponseWriter, req *http.Request) {
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
	r.announced(ep)
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// announced takes a heartbeat over. It is called with the lock held.
func (r *Runner) announced(ep *work.Endpoint) {
	s := r.session
	switch {
	case s != nil && s.endpoint.ID == ep.ID && s.endpoint.Address == ep.Address && ep.Born > s.endpoint.Born:
		r.reborn(s, ep, clock.Boot())
		s.account.SetCapacity(ep.Capacity)
	case s == nil || (s.endpoint.Life() != ep.Life() && ep.Newer(s.endpoint)):
		r.beginSession(ep)
	case s.endpoint.Life() == ep.Life() && ep.Newer(s.endpoint):
		r.update(s, ep)
	default:
		r.log.Info("heartbeat: older than the one known", zap.String("life", ep.Life()),
			zap.String("known", s.endpoint.Life()), zap.Int64("sequence", ep.Sequence))
		return
	}
	r.publish()
}

// update takes over a later heartbeat of the same life.
func (r *Runner) update(s *session, ep *work.Endpoint) {
	if ep.Leaving && !s.endpoint.Leaving {
		r.log.Info("endpoint: leaving", zap.String("life", ep.Life()), zap.Int("running", s.account.Runs()))
	}
	s.endpoint = ep
	s.account.SetCapacity(ep.Capacity)
	if ep.Leaving {
		r.refuseWaiting()
	}
}

// leave takes the endpoint's last call before its planned end.
func (r *Runner) leave(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	r.mu.Lock()
	if s := r.session; s != nil && s.endpoint.ID == id {
		r.log.Info("endpoint: gone", zap.String("life", s.endpoint.Life()))
		s.endpoint.Leaving = true
		r.refuseWaiting()
		r.publish()
	}
	r.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
