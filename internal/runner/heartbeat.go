package runner

import (
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// maxStartAhead bounds how far in the future the start of an endpoint's process may be by the
// clock of this host. A later one would make all other processes count as older.
const maxStartAhead = 24 * time.Hour

// serveHeartbeat handles a heartbeat of the endpoint. A malformed heartbeat is
// refused and changes nothing.
func (r *Runner) serveHeartbeat(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ep, err := platform.DecodeHeartbeat(req.PathValue("id"), body)
	if err == nil && ep.StartedAtMS > time.Now().Add(maxStartAhead).UnixMilli() {
		err = result.Errorf(result.Malformed, "heartbeat: the start of the process, %d, is in the future", ep.StartedAtMS)
	}
	if err != nil {
		r.log.Warn("heartbeat: refused, it is malformed", zap.String("endpoint", req.PathValue("id")), zap.Error(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	refused := r.applyEndpointHeartbeat(ep, clock.SinceBoot())
	r.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// applyEndpointHeartbeat applies a decoded heartbeat unless a newer one is known. It
// reports whether the heartbeat is refused, because its service is not configured while
// that of the present endpoint is. The caller holds r.mu.
func (r *Runner) applyEndpointHeartbeat(ep *workload.Endpoint, now time.Duration) (refused bool) {
	s := r.session
	switch {
	case s == nil:
		r.startSession(ep)
	case r.refusesHeartbeat(s, ep):
		r.log.Warn("heartbeat: refused, its service is not configured", zap.String("life", ep.Incarnation()),
			zap.String("service", ep.Service), zap.String("known", s.endpoint.Incarnation()))
		return true
	case s.endpoint.ID == ep.ID && s.endpoint.Address == ep.Address && ep.StartedAtMS > s.endpoint.StartedAtMS:
		r.restartSession(s, ep, now)
		s.setCapacity(ep.Capacity, now)
	case s.endpoint.Incarnation() == ep.Incarnation() && ep.Newer(s.endpoint):
		r.updateEndpoint(s, ep)
	case s.endpoint.Incarnation() == ep.Incarnation() && ep.Draining:
		// A process that drains doesn't return, so this is true however old it is. An
		// acknowledgement promises that no run is started any more.
		r.drainEndpoint(s)
	case s.endpoint.Incarnation() != ep.Incarnation() && (ep.Newer(s.endpoint) || s.gone(now) || !r.serves(s.endpoint.Service)):
		r.replaceEndpoint(s, ep, now)
	default:
		r.log.Info("heartbeat: ignored, a newer one is known", zap.String("life", ep.Incarnation()),
			zap.String("known", s.endpoint.Incarnation()), zap.Int64("sequence", ep.Sequence))
		return false
	}
	r.markStateChanged()
	return false
}

// maxHeartbeatDelay bounds the time that a heartbeat takes: its sender has given it up by
// then.
const maxHeartbeatDelay = 5 * time.Second

// gone reports whether the endpoint's process has been silent for so long that another
// one replaces it even if that appears to have started earlier, as it does after the
// host's clock was set back. No run is left there: it has never responded, or its lease
// has expired.
func (s *session) gone(now time.Duration) bool {
	return (s.down || s.lastResponseAt == 0) && now-max(s.heartbeatAt, s.lastResponseAt) > maxHeartbeatDelay
}

// updateEndpoint applies a newer heartbeat of the same endpoint process.
func (r *Runner) updateEndpoint(s *session, ep *workload.Endpoint) {
	announced := ep.Draining
	// A process that drains doesn't return.
	ep.Draining = s.endpoint.Draining
	s.endpoint = ep
	s.setCapacity(ep.Capacity, clock.SinceBoot())
	if announced || ep.Draining {
		r.drainEndpoint(s)
	}
}

// drainEndpoint stops the starts of runs at an endpoint that is about to end.
func (r *Runner) drainEndpoint(s *session) {
	if !s.endpoint.Draining {
		r.log.Info("endpoint: draining", zap.String("life", s.endpoint.Incarnation()), zap.Int("running", s.tracker.RunCount()))
	}
	s.endpoint.Draining = true
	r.refuseQueued()
}

// setCapacity applies the capacity in a heartbeat that was received now.
func (s *session) setCapacity(c workload.Resources, now time.Duration) {
	s.tracker.SetCapacity(c)
	s.heartbeatAt = now
}

// serveDeregister handles the call by which the endpoint announces its planned
// shutdown.
func (r *Runner) serveDeregister(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	r.mu.Lock()
	if s := r.session; s != nil && s.endpoint.ID == id {
		r.log.Info("endpoint: deregistered", zap.String("life", s.endpoint.Incarnation()))
		r.drainEndpoint(s)
		r.markStateChanged()
	}
	r.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
