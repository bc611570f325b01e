// Package room keeps a runner's account of one life of its endpoint: which
// runs take room there, which may still appear, and how fast they get on. It
// has no input or output; instants come from the caller.
//
// An order without an answer may be carried out later, so its run keeps its
// room until a stop of it was acknowledged and the endpoint, asked afterwards,
// doesn't list it.
package capacity

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// RunState is how far a run has come.
type RunState int

// The states of a run.
const (
	// StartSent: the start order is on its way.
	StartSent RunState = iota
	// Running: the endpoint has accepted or listed the run.
	Running
	// StartUnanswered: the start order got no answer.
	StartUnanswered
	// Stopping: a stop was ordered.
	Stopping
)

// Reservation is one run that takes room.
type Reservation struct {
	Run       workload.RunID
	Owner     string
	Resources workload.Resources
	// Estimate is the expected time at speed 1.
	Estimate time.Duration
	State    RunState
	// StartSentAt is when the start order left.
	StartSentAt time.Duration
	// AcceptedAt is when the start was acknowledged.
	AcceptedAt time.Duration
	// StopAcked is set once a stop order was acknowledged, at StopAckedAt.
	StopAcked   bool
	StopAckedAt time.Duration
	// lastPercent and percentAt are the last progress that was listed.
	lastPercent   float64
	lastPercentAt time.Duration
	// rate is how fast the run gets on against its estimate, once sampled.
	rate    float64
	hasRate bool
	// stillFrom and stillTo are the first and the last look that showed no
	// progress since the one before; zero while there is progress.
	noProgressFrom, noProgressUntil time.Duration
	// Stalled is set once the run was reported as standing still.
	Stalled bool
}

// ReleasedRun is a run that no longer takes room.
type ReleasedRun struct {
	Reservation Reservation
	// Outcome is zero for a run that ended without being listed: it never began,
	// or its end was not told.
	Outcome workload.Outcome
	// Elapsed is the time from the start order to the end.
	Elapsed time.Duration
}

// Tracker is the account of one life of an endpoint.
type Tracker struct {
	capacity     workload.Resources
	used         workload.Resources
	reservations map[workload.RunID]*Reservation
	// unknown are runs that are listed but were not ordered by this runner.
	unknown map[workload.RunID]bool
	// released holds when a run gave its room back, for answers that were
	// overtaken and still list it.
	released map[workload.RunID]time.Duration
	// synced is set once the endpoint has listed its runs.
	synced bool
	// lastEndSequence is the number of the last end that was taken note of.
	lastEndSequence int64
	speed           speedEstimator
}

// releasedRetention is how long a run that gave its room back is remembered.
const releasedRetention = 2 * time.Second

// New returns the account of a life that has listed nothing yet.
func New(capacity workload.Resources) *Tracker {
	return &Tracker{capacity: capacity, reservations: map[workload.RunID]*Reservation{}, unknown: map[workload.RunID]bool{}, released: map[workload.RunID]time.Duration{}, speed: newSpeedEstimator()}
}

// Capacity returns what the endpoint has.
func (a *Tracker) Capacity() workload.Resources { return a.capacity }

// SetCapacity changes what the endpoint has.
func (a *Tracker) SetCapacity(c workload.Resources) { a.capacity = c }

// Used returns what runs take, with those that may still appear.
func (a *Tracker) Used() workload.Resources { return a.used }

// AcceptsStarts tells whether starts may be ordered at all: the endpoint has listed
// its runs, and none of them is unaccounted for.
func (a *Tracker) AcceptsStarts() bool { return a.synced && len(a.unknown) == 0 }

// Fits tells whether a start of this size may be ordered now.
func (a *Tracker) Fits(need workload.Resources) bool {
	return a.AcceptsStarts() && a.used.Plus(need).Fits(a.capacity)
}

// LastEndSequence is the number of the last end that was taken note of.
func (a *Tracker) LastEndSequence() int64 { return a.lastEndSequence }

// RunCount returns the number of runs that take room.
func (a *Tracker) RunCount() int { return len(a.reservations) }

// UnknownRuns returns runs of an unknown origin, which have to be stopped.
func (a *Tracker) UnknownRuns() []workload.RunID {
	var all []workload.RunID
	for r := range a.unknown {
		all = append(all, r)
	}
	return all
}

// Reserve takes room for a run whose start is about to be ordered. It returns
// false for a run that has room already.
func (a *Tracker) Reserve(e Reservation, now time.Duration) bool {
	if _, found := a.reservations[e.Run]; found {
		return false
	}
	e.State, e.StartSentAt, e.lastPercentAt = StartSent, now, now
	a.reservations[e.Run] = &e
	a.used = a.used.Plus(e.Resources)
	return true
}

// Reservation returns a run that takes room.
func (a *Tracker) Reservation(r workload.RunID) (*Reservation, bool) {
	e, found := a.reservations[r]
	return e, found
}

// OwnedBy returns the runs that an owner ordered.
func (a *Tracker) OwnedBy(owner string) []workload.RunID {
	var all []workload.RunID
	for r, e := range a.reservations {
		if e.Owner == owner {
			all = append(all, r)
		}
	}
	return all
}

// StartAccepted notes that the endpoint acknowledged a start.
func (a *Tracker) StartAccepted(r workload.RunID, now time.Duration) {
	e, found := a.reservations[r]
	if !found {
		return
	}
	if e.State == StartSent || e.State == StartUnanswered {
		e.State = Running
	}
	e.AcceptedAt = now
}

// StartRefused frees the room of a run whose start was refused.
func (a *Tracker) StartRefused(r workload.RunID, now time.Duration) {
	if e, found := a.reservations[r]; found {
		a.release(e, now)
	}
}

// MarkUnanswered notes that a start got no answer. It returns true if the run
// has to be stopped before its room is free.
func (a *Tracker) MarkUnanswered(r workload.RunID) bool {
	e, found := a.reservations[r]
	if !found || e.State != StartSent {
		return false
	}
	e.State = StartUnanswered
	return true
}

// BeginStop notes that a stop of the run is about to be ordered. It returns false
// for a run that takes no room, or is being stopped already.
func (a *Tracker) BeginStop(r workload.RunID) bool {
	e, found := a.reservations[r]
	if !found || e.State == Stopping {
		return false
	}
	e.State = Stopping
	return true
}

// StopAcked notes that the endpoint acknowledged a stop.
func (a *Tracker) StopAcked(r workload.RunID, now time.Duration) {
	e, found := a.reservations[r]
	if !found || e.StopAcked {
		return
	}
	e.StopAcked, e.StopAckedAt = true, now
}

func (a *Tracker) release(e *Reservation, now time.Duration) {
	delete(a.reservations, e.Run)
	a.used = a.used.Minus(e.Resources)
	a.released[e.Run] = now
}

// pruneReleased drops what is remembered of runs that went long ago.
func (a *Tracker) pruneReleased(now time.Duration) {
	for r, at := range a.released {
		if now-at > releasedRetention {
			delete(a.released, r)
		}
	}
}

// Reconcile takes over what the endpoint lists. asked is when the call left. It
// returns the runs that no longer take room.
func (a *Tracker) Reconcile(look workload.RenewalResponse, asked, now time.Duration) []ReleasedRun {
	var gone []ReleasedRun
	for _, end := range look.Ended {
		if end.Sequence <= a.lastEndSequence {
			continue
		}
		a.lastEndSequence = end.Sequence
		delete(a.unknown, end.Run)
		if e, found := a.reservations[end.Run]; found {
			a.release(e, now)
			if end.Outcome == workload.OutcomeDone {
				a.speed.observeDone(e, now)
			}
			gone = append(gone, ReleasedRun{Reservation: *e, Outcome: end.Outcome, Elapsed: now - e.StartSentAt})
		}
	}
	listed := a.applyRunning(look.Running, asked, now)
	gone = append(gone, a.releaseUnlisted(listed, asked, now)...)
	a.synced = true
	a.pruneReleased(now)
	return gone
}

// applyRunning notes the progress of the listed runs.
func (a *Tracker) applyRunning(running []workload.RunProgress, asked, now time.Duration) map[workload.RunID]bool {
	listed := make(map[workload.RunID]bool, len(running))
	for _, l := range running {
		listed[l.Run] = true
		e, found := a.reservations[l.Run]
		if !found {
			if at, known := a.released[l.Run]; !known || at < asked {
				a.unknown[l.Run] = true
			}
			continue
		}
		if e.State == StartUnanswered {
			e.State = Running
			e.AcceptedAt = asked
		}
		a.speed.observeProgress(e, l.Percent, now)
	}
	for r := range a.unknown {
		if !listed[r] {
			delete(a.unknown, r)
		}
	}
	return listed
}

// releaseUnlisted removes the runs that must have ended or can't appear any more:
// those that were accepted, or whose stop was acknowledged, before the call
// left and that are not listed. An endpoint that has acknowledged a stop
// refuses the run's start if that arrives later.
func (a *Tracker) releaseUnlisted(listed map[workload.RunID]bool, asked, now time.Duration) []ReleasedRun {
	var gone []ReleasedRun
	for r, e := range a.reservations {
		if listed[r] {
			continue
		}
		accepted := e.AcceptedAt > 0 && e.AcceptedAt < asked
		stopped := e.StopAcked && e.StopAckedAt < asked
		if accepted || stopped {
			a.release(e, now)
			gone = append(gone, ReleasedRun{Reservation: *e, Elapsed: now - e.StartSentAt})
		}
	}
	return gone
}

// ReleaseAll removes every run, for an endpoint whose process has ended or whose
// lease has run out.
func (a *Tracker) ReleaseAll(now time.Duration) []ReleasedRun {
	var gone []ReleasedRun
	for _, e := range a.reservations {
		gone = append(gone, ReleasedRun{Reservation: *e, Elapsed: now - e.StartSentAt})
	}
	a.reservations = map[workload.RunID]*Reservation{}
	a.used = workload.Resources{}
	return gone
}

// EndpointRestarted notes that the endpoint's process has been replaced under the same
// name: its ends are numbered anew. Which runs it has, those included that
// were ordered since, the next look tells.
func (a *Tracker) EndpointRestarted() {
	a.lastEndSequence = 0
	a.synced = false
	a.unknown = map[workload.RunID]bool{}
}

// RequireSync asks for a new survey before anything is started, after a time in
// which the endpoint was out of reach.
func (a *Tracker) RequireSync() { a.synced = false }
