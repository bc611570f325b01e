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

// RunState is a run's state as the runner knows it.
type RunState int

// States of a run.
const (
	// StartSent means that the start request has no response yet.
	StartSent RunState = iota
	// Running means that the endpoint has accepted or listed the run.
	Running
	// StartUnanswered means that the start request got no response; the run may
	// or may not start.
	StartUnanswered
	// Stopping means that a stop has been requested.
	Stopping
)

// Reservation is the capacity held for one run.
type Reservation struct {
	Run workload.RunID
	// Owner identifies the incarnation of the dispatcher that requested the
	// run.
	Owner     string
	Resources workload.Resources
	// Route is the route of the run's job. Contained is set if the job may crash
	// the endpoint.
	Route     string
	Contained bool
	// Overflow is set if the run was ordered for an endpoint that is suspended
	// because it is slow.
	Overflow bool
	// Estimate is the expected duration at speed 1.
	Estimate time.Duration
	State    RunState
	// StartSentAt is when the start request was sent.
	StartSentAt time.Duration
	// AcceptedAt is when the start was known to be accepted, zero before that.
	// For a run whose start request got no response, it is when the renewal
	// request was sent whose response listed the run.
	AcceptedAt time.Duration
	// listed is set once the endpoint has listed the run as running.
	listed bool
	// processEnded is set when the endpoint's process was replaced after the run
	// had begun there.
	processEnded bool
	// StopAcked is set once a stop request has been acknowledged, at
	// StopAckedAt.
	StopAcked   bool
	StopAckedAt time.Duration
	// lastPercent is the progress at the last speed sample, taken at
	// lastPercentAt.
	lastPercent   float64
	lastPercentAt time.Duration
	// rate is the run's speed relative to its estimate; it is valid if hasRate.
	rate    float64
	hasRate bool
	// noProgressFrom and noProgressUntil are the times of the first and the
	// last response that showed no progress since the last sample; zero while
	// there is progress.
	noProgressFrom, noProgressUntil time.Duration
	// Stalled is set once NewlyStalled has returned the run.
	Stalled bool
}

// Begun reports whether the run is known to have begun.
func (res *Reservation) Begun() bool { return res.AcceptedAt > 0 || res.listed }

// ReleasedRun is a run that no longer holds capacity.
type ReleasedRun struct {
	Reservation Reservation
	// Outcome is zero for a run whose end was not listed and is not known: it
	// never started, or its end was not reported.
	Outcome workload.Outcome
	// Elapsed is the time from the start request to the release.
	Elapsed time.Duration
}

// Tracker tracks the runs and the speed of one incarnation of an endpoint.
type Tracker struct {
	capacity     workload.Resources
	used         workload.Resources
	reservations map[workload.RunID]*Reservation
	// unknown holds runs that the endpoint lists but this runner did not
	// request.
	unknown map[workload.RunID]bool
	// released holds when a run's capacity was released: a response that was
	// sent before may arrive later and still list the run.
	released map[workload.RunID]time.Duration
	// synced is set once the endpoint has listed its runs.
	synced bool
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
	return &Tracker{capacity: capacity, reservations: map[workload.RunID]*Reservation{}, unknown: map[workload.RunID]bool{}, released: map[workload.RunID]time.Duration{}, speed: newSpeedEstimator()}
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
	res.AcceptedAt = now
}

// StartRefused releases the capacity of a run whose start was refused.
func (t *Tracker) StartRefused(run workload.RunID, now time.Duration) {
	if res, found := t.reservations[run]; found {
		t.release(res, now)
	}
}

// MarkUnanswered records that the start request got no response. It reports
// whether the run has to be stopped before its capacity is free.
func (t *Tracker) MarkUnanswered(run workload.RunID) bool {
	res, found := t.reservations[run]
	if !found || res.State != StartSent {
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

// Reconcile applies the response to a renewal request that was sent at sentAt.
// It returns the runs whose capacity it released.
func (t *Tracker) Reconcile(resp workload.RenewalResponse, sentAt, now time.Duration) []ReleasedRun {
	var released []ReleasedRun
	for _, end := range resp.Ended {
		if end.Sequence <= t.lastEndSequence {
			continue
		}
		t.lastEndSequence = end.Sequence
		delete(t.unknown, end.Run)
		if res, found := t.reservations[end.Run]; found {
			t.release(res, now)
			if end.Outcome == workload.OutcomeDone {
				t.speed.observeDone(res, now)
				t.rateRun(res, now)
			}
			released = append(released, ReleasedRun{Reservation: *res, Outcome: end.Outcome, Elapsed: now - res.StartSentAt})
		}
	}
	listed := t.applyRunning(resp.Running, sentAt, now)
	released = append(released, t.releaseUnlisted(listed, sentAt, now)...)
	t.synced = true
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
				t.unknown[l.Run] = true
			}
			continue
		}
		res.listed, res.processEnded = true, false
		if res.State == StartUnanswered {
			res.State = Running
			res.AcceptedAt = sentAt
		}
		t.speed.observeProgress(res, l.Percent, now)
	}
	for run := range t.unknown {
		if !listed[run] {
			delete(t.unknown, run)
		}
	}
	return listed
}

// releaseUnlisted releases the runs that must have ended or can't start any
// more: those that are not listed although their start was accepted, or their
// stop acknowledged, before the request was sent. An endpoint that has
// acknowledged a run's stop refuses its start if that arrives later.
func (t *Tracker) releaseUnlisted(listed map[workload.RunID]bool, sentAt, now time.Duration) []ReleasedRun {
	var released []ReleasedRun
	for run, res := range t.reservations {
		if listed[run] {
			continue
		}
		accepted := res.AcceptedAt > 0 && res.AcceptedAt < sentAt
		stopped := res.StopAcked && res.StopAckedAt < sentAt
		if accepted || stopped {
			t.release(res, now)
			released = append(released, ReleasedRun{Reservation: *res, Outcome: res.inferredOutcome(), Elapsed: now - res.StartSentAt})
		}
	}
	return released
}

// inferredOutcome returns the outcome of a run that the endpoint lists neither
// as running nor as ended.
func (res *Reservation) inferredOutcome() workload.Outcome {
	if res.processEnded {
		return workload.OutcomeCrashed
	}
	return 0
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
// the next response has listed the runs, including those that were requested
// meanwhile. The runs that had begun are lost in a crash, unless the new process
// lists them or the old one had announced its end.
func (t *Tracker) EndpointRestarted(crashed bool) {
	t.lastEndSequence = 0
	t.synced = false
	t.rating = Rating{}
	t.unknown = map[workload.RunID]bool{}
	for _, res := range t.reservations {
		res.processEnded = crashed && res.Begun()
	}
}

// RequireSync blocks starts until the endpoint has listed its runs again, after
// it was unreachable.
func (t *Tracker) RequireSync() { t.synced = false }
