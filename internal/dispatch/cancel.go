package dispatch

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

// handleCancel cancels a job. The route of an open job need not be in the present
// configuration: the job was admitted by an earlier one, and its tasks run on. matchErr is
// the error with which a job on this path would be refused now. The answer to the caller is
// then that there is no such job (any more), because success would mean that the route is
// still served.
func (d *Dispatcher) handleCancel(w http.ResponseWriter, r *http.Request, s *submission, matchErr error) {
	cancelled := d.cancelOpen(s.host, s.path)
	switch {
	case cancelled && matchErr == nil:
		w.WriteHeader(http.StatusOK)
	case cancelled, matchErr == nil:
		w.WriteHeader(http.StatusGone)
	default:
		d.refuse(w, r, "", matchErr)
	}
}

// cancelOpen cancels the job at a path if it runs here or was forwarded from here, and
// reports whether it does.
func (d *Dispatcher) cancelOpen(host, path string) bool {
	id, ok := platform.JobID(path)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.handover.forwarded[id]; f != nil && f.job.route.LeadsTo(host, path, id) {
		d.log.Info("job: cancelled", zap.String("job", id), zap.String("peer", f.peer.Name))
		d.endForwarded(f, platform.Answer{Code: result.CancelledAfterStart})
		return true
	}
	j := d.jobs[id]
	if j == nil || !j.route.LeadsTo(host, path, id) {
		return false
	}
	d.log.Info("job: cancelled", zap.String("job", id))
	code := result.Cancelled
	if j.started() {
		code = result.CancelledAfterStart
	}
	d.finish(j, platform.Answer{Code: code})
	return true
}
