package capacity

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// maxResponseDelay is the time since its request from which a response says nothing about
// the speed of runs. The runner gives up a request after 150 ms, so a later response was
// waiting to be read while the runner's process was suspended.
const maxResponseDelay = 200 * time.Millisecond

// Reconcile applies the response to a renewal request that was sent at sentAt.
// It returns the runs whose capacity it released.
func (t *Tracker) Reconcile(resp workload.RenewalResponse, sentAt, now time.Duration) []ReleasedRun {
	var released []ReleasedRun
	delayed := now-sentAt > maxResponseDelay
	for _, end := range resp.Ended {
		if end.Sequence <= t.lastEndSequence {
			continue
		}
		t.lastEndSequence = end.Sequence
		delete(t.unknown, end.Run)
		if res, found := t.reservations[end.Run]; found {
			t.release(res, now)
			if end.Outcome == workload.OutcomeDone && !delayed {
				t.speed.observeDone(res, now)
				t.rateRun(res, now)
			}
			released = append(released, ReleasedRun{Reservation: *res, Outcome: end.Outcome, Elapsed: now - res.StartSentAt})
		}
	}
	listed := t.applyRunning(resp.Running, sentAt, now)
	if resp.FencingToken >= t.syncToken {
		released = append(released, t.releaseUnlisted(listed, resp.FencingToken, sentAt, now)...)
		t.synced = true
	}
	t.pruneReleased(now)
	return released
}

// applyRunning records the progress of the listed runs, and which of them are
// unknown. It returns the set of all listed runs.
func (t *Tracker) applyRunning(running []workload.RunProgress, sentAt, now time.Duration) map[workload.RunID]bool {
	listed := make(map[workload.RunID]bool, len(running))
	for _, l := range running {
		listed[l.Run] = true
		res, found := t.reservations[l.Run]
		if !found {
			if at, known := t.released[l.Run]; !known || at < sentAt {
				t.noteUnknown(l.Run, now)
			}
			continue
		}
		res.listed, res.processEnded = true, false
		if res.State == StartUnanswered {
			// A request that waits at the endpoint lists what began after it was sent.
			res.State = Running
			res.AcceptedAt = now
		}
		if now-sentAt > maxResponseDelay {
			res.skipProgress(l.Percent, now)
			continue
		}
		t.speed.observeProgress(res, l.Percent, now)
	}
	for run, since := range t.unknown {
		// A list that was requested before the one with the run may be an earlier one.
		if !listed[run] && since < sentAt {
			delete(t.unknown, run)
		}
	}
	return listed
}

// noteUnknown records that the endpoint lists a run that this runner did not request.
func (t *Tracker) noteUnknown(run workload.RunID, now time.Duration) {
	if _, known := t.unknown[run]; !known {
		t.unknown[run] = now
	}
}

// releaseUnlisted releases the runs that must have ended or can't start any
// more: those that are not listed although their start was accepted, or their
// stop acknowledged, before the request was sent. An endpoint that has
// acknowledged a run's stop refuses its start if that arrives later, and so does one
// that has seen a higher fencing token, as that of the request.
func (t *Tracker) releaseUnlisted(listed map[workload.RunID]bool, token int64, sentAt, now time.Duration) []ReleasedRun {
	var released []ReleasedRun
	for run, res := range t.reservations {
		if listed[run] {
			continue
		}
		accepted := res.AcceptedAt > 0 && res.AcceptedAt < sentAt
		stopped := res.StopAcked && res.StopAckedAt < sentAt
		if accepted || stopped || res.fenced(token) {
			t.release(res, now)
			released = append(released, ReleasedRun{Reservation: *res, Outcome: res.inferredOutcome(), Elapsed: now - res.StartSentAt})
		}
	}
	return released
}
