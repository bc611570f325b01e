package capacity

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// A run that is revoked must end. An acknowledged stop request ends it; without one it
// ends with the endpoint's lease, which all runs there share. The endpoint's lease must
// therefore not be extended after the time until which a revoked run may go on, unless it
// is proved that the run ends or can't start.

// Revoke records that a run must end, and that the endpoint's lease may be extended for it
// until the given time at most. A later call can only make that time earlier.
func (t *Tracker) Revoke(run workload.RunID, until time.Duration) {
	res, found := t.reservations[run]
	if !found {
		return
	}
	if !res.revoked || until < res.revokedAt {
		res.revoked, res.revokedAt = true, until
	}
}

// MustLapse reports whether the endpoint's lease must not be extended: a run there is
// unknown, or was to end and no stop request for it has been acknowledged.
func (t *Tracker) MustLapse(now time.Duration) bool {
	if len(t.unknown) > 0 {
		return true
	}
	for _, res := range t.reservations {
		if res.overdue(now) {
			return true
		}
	}
	return false
}

// overdue reports whether the run must have ended, and may go on.
func (res *Reservation) overdue(now time.Duration) bool {
	return res.revoked && !res.StopAcked && now > res.revokedAt
}

// StopUnanswered records that a stop request got no response.
func (t *Tracker) StopUnanswered(run workload.RunID) {
	if res, found := t.reservations[run]; found {
		res.stopUnanswered = true
	}
}

// NeedsFence reports whether an overdue run with the fencing token may still start: its
// start got no response, nor did a stop request. A renewal with a higher token makes the
// endpoint refuse the start, and spares the other runs there.
func (t *Tracker) NeedsFence(token int64, now time.Duration) bool {
	for _, res := range t.reservations {
		if res.overdue(now) && res.stopUnanswered && !res.Begun() && res.FencingToken == token {
			return true
		}
	}
	return false
}

// fenced reports whether a response that doesn't list the run proves that it won't start:
// its start got no response, and the endpoint had seen a higher fencing token.
func (res *Reservation) fenced(token int64) bool {
	return (res.State == StartUnanswered || res.State == Stopping) && res.FencingToken < token
}
