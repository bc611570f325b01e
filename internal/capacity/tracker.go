// Package capacity tracks one incarnation of a runner's endpoint: which runs
// use its capacity, which may still start, how fast they progress, and whether
// the endpoint is healthy. It does no I/O; the caller passes the time.
//
// A start request without a response may still be carried out later. Its run
// keeps its reservation until a stop request has been acknowledged and the
// endpoint, asked after that, doesn't list the run.
package capacity

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// Tracker tracks the runs and the speed of one incarnation of an endpoint.
type Tracker struct {
	capacity     workload.Resources
	used         workload.Resources
	reservations map[workload.RunID]*Reservation
	// unknown holds runs that the endpoint lists but this runner did not request, and when
	// the response arrived that first listed them.
	unknown map[workload.RunID]time.Duration
	// released holds when a run's capacity was released: a response that was
	// sent before may arrive later and still list the run.
	released map[workload.RunID]time.Duration
	// synced is set once the endpoint has listed its runs. Only the response to a request
	// with at least syncToken proves that a run isn't there.
	synced    bool
	syncToken int64
	// lastEndSequence is the sequence number of the last processed end of a
	// run.
	lastEndSequence int64
	speed           speedEstimator
	rating          Rating
}

// releasedRetention is how long a released run is remembered.
const releasedRetention = 2 * time.Second

// New returns a tracker for an incarnation that has not listed its runs yet.
func New(capacity workload.Resources) *Tracker {
	return &Tracker{capacity: capacity, reservations: map[workload.RunID]*Reservation{}, unknown: map[workload.RunID]time.Duration{}, released: map[workload.RunID]time.Duration{}, speed: newSpeedEstimator()}
}

// Capacity returns the endpoint's capacity.
func (t *Tracker) Capacity() workload.Resources { return t.capacity }

// SetCapacity changes the endpoint's capacity.
func (t *Tracker) SetCapacity(c workload.Resources) { t.capacity = c }

// Used returns the capacity held by runs, including those that may still start.
func (t *Tracker) Used() workload.Resources { return t.used }

// AcceptsStarts reports whether starts may be requested at all: the endpoint
// has listed its runs, and none of them is unknown.
func (t *Tracker) AcceptsStarts() bool { return t.synced && len(t.unknown) == 0 }

// Fits reports whether a run that needs these resources may be started now.
func (t *Tracker) Fits(resources workload.Resources) bool {
	return t.AcceptsStarts() && t.used.Plus(resources).Fits(t.capacity)
}

// LastEndSequence returns the sequence number of the last processed end of a
// run.
func (t *Tracker) LastEndSequence() int64 { return t.lastEndSequence }

// RunCount returns the number of runs that hold capacity.
func (t *Tracker) RunCount() int { return len(t.reservations) }

// OverflowCount returns the number of overflow runs that hold capacity.
func (t *Tracker) OverflowCount() int {
	n := 0
	for _, res := range t.reservations {
		if res.Overflow {
			n++
		}
	}
	return n
}

// UnknownRuns returns the runs that this runner did not request. They have to
// be stopped.
func (t *Tracker) UnknownRuns() []workload.RunID {
	var all []workload.RunID
	for run := range t.unknown {
		all = append(all, run)
	}
	return all
}

// Reserve reserves capacity for a run that is about to be started, and reports
// whether it did: a run that holds a reservation already gets no second one.
func (t *Tracker) Reserve(res Reservation, now time.Duration) bool {
	if _, found := t.reservations[res.Run]; found {
		return false
	}
	res.State, res.StartSentAt, res.lastPercentAt = StartSent, now, now
	t.reservations[res.Run] = &res
	t.used = t.used.Plus(res.Resources)
	return true
}

// Reservation returns the run's reservation.
func (t *Tracker) Reservation(run workload.RunID) (*Reservation, bool) {
	res, found := t.reservations[run]
	return res, found
}

// OwnedBy returns the runs that the owner requested.
func (t *Tracker) OwnedBy(owner string) []workload.RunID {
	var all []workload.RunID
	for run, res := range t.reservations {
		if res.Owner == owner {
			all = append(all, run)
		}
	}
	return all
}

// HasRunOf reports whether the owner requested any of the runs.
func (t *Tracker) HasRunOf(owner string) bool {
	for _, res := range t.reservations {
		if res.Owner == owner {
			return true
		}
	}
	return false
}

// HasContained reports whether a contained run of another job than the given one
// holds capacity.
func (t *Tracker) HasContained(exceptJob string) bool {
	for run, res := range t.reservations {
		if !res.Contained {
			continue
		}
		if task, _ := workload.ParseTaskID(run.Task); task.Job != exceptJob {
			return true
		}
	}
	return false
}

// StartAccepted records that the endpoint accepted the start.
func (t *Tracker) StartAccepted(run workload.RunID, now time.Duration) {
	res, found := t.reservations[run]
	if !found {
		return
	}
	if res.State == StartSent || res.State == StartUnanswered {
		res.State = Running
	}
	res.AcceptedAt, res.startReturnedAt = now, now
}

// StartRefused releases the capacity of a run whose start was refused.
func (t *Tracker) StartRefused(run workload.RunID, now time.Duration) {
	if res, found := t.reservations[run]; found {
		t.release(res, now)
	}
}

// MarkUnanswered records that the start request got no response. It reports
// whether the run has to be stopped before its capacity is free.
func (t *Tracker) MarkUnanswered(run workload.RunID, now time.Duration) bool {
	res, found := t.reservations[run]
	if !found {
		return false
	}
	res.startReturnedAt = now
	if res.State != StartSent {
		return false
	}
	res.State = StartUnanswered
	return true
}

// BeginStop records that a stop request is about to be sent, and reports
// whether it has to be: not if the run holds no capacity or is being stopped
// already.
func (t *Tracker) BeginStop(run workload.RunID) bool {
	res, found := t.reservations[run]
	if !found || res.State == Stopping {
		return false
	}
	res.State = Stopping
	return true
}

// StopAcked records that the endpoint acknowledged the stop.
func (t *Tracker) StopAcked(run workload.RunID, now time.Duration) {
	res, found := t.reservations[run]
	if !found || res.StopAcked {
		return
	}
	res.StopAcked, res.StopAckedAt = true, now
}

func (t *Tracker) release(res *Reservation, now time.Duration) {
	delete(t.reservations, res.Run)
	t.used = t.used.Minus(res.Resources)
	t.released[res.Run] = now
}

// pruneReleased deletes the records of runs that were released longer than
// releasedRetention ago.
func (t *Tracker) pruneReleased(now time.Duration) {
	for run, at := range t.released {
		if now-at > releasedRetention {
			delete(t.released, run)
		}
	}
}

// ReleaseEnded releases the runs that have ended, or can't start any more, because the
// endpoint's process had ended at a time after the given one: their start requests had a
// response or were given up before. Any other request may reach the next process.
func (t *Tracker) ReleaseEnded(after, now time.Duration) []ReleasedRun {
	var released []ReleasedRun
	for _, res := range t.reservations {
		if res.startReturnedAt == 0 || max(res.startReturnedAt, res.AcceptedAt) >= after {
			continue
		}
		t.release(res, now)
		released = append(released, ReleasedRun{Reservation: *res, Elapsed: now - res.StartSentAt})
	}
	return released
}

// ReleaseAll releases every run of an endpoint whose process has ended or whose
// lease has expired.
func (t *Tracker) ReleaseAll(now time.Duration) []ReleasedRun {
	var released []ReleasedRun
	for _, res := range t.reservations {
		released = append(released, ReleasedRun{Reservation: *res, Elapsed: now - res.StartSentAt})
	}
	t.reservations = map[workload.RunID]*Reservation{}
	t.used = workload.Resources{}
	return released
}

// EndpointRestarted records that the endpoint's process was replaced under the
// same name. Ends are numbered from one again, and no start is requested until
// the response to a request with the fencing token has listed the runs, including
// those that were requested meanwhile. The runs that had begun are lost in a crash,
// unless the new process lists them or the old one had announced its end. It returns the
// runs whose stop has to be requested again: the new process knows of none.
func (t *Tracker) EndpointRestarted(crashed bool, token int64) []workload.RunID {
	t.lastEndSequence = 0
	t.RequireSync(token)
	t.rating = Rating{}
	t.unknown = map[workload.RunID]time.Duration{}
	for _, res := range t.reservations {
		res.processEnded = crashed && res.Begun()
	}
	return t.RepeatStops()
}

// RepeatStops returns the runs that are being stopped. An acknowledgement by an earlier process
// of the endpoint no longer counts.
func (t *Tracker) RepeatStops() []workload.RunID {
	var all []workload.RunID
	for run, res := range t.reservations {
		if res.State == Stopping {
			res.StopAcked = false
			all = append(all, run)
		}
	}
	return all
}

// RequireSync blocks starts until the endpoint has listed its runs in response to a request
// with the fencing token, which it uses after it was restarted or unreachable: it refuses the
// starts that were requested before.
func (t *Tracker) RequireSync(token int64) { t.synced, t.syncToken = false, token }
