// Package room keeps a runner's account of one life of its endpoint: which
// runs take room there, which may still appear, and how fast they get on. It
// has no input or output; instants come from the caller.
//
// An order without an answer may be carried out later, so its run keeps its
// room until a stop of it was acknowledged and the endpoint, asked afterwards,
// doesn't list it.
package room

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/work"
)

// State is how far a run has come.
type State int

// The states of a run.
const (
	// Sent: the start order is on its way.
	Sent State = iota
	// Running: the endpoint has accepted or listed the run.
	Running
	// Doubtful: the start order got no answer.
	Doubtful
	// Stopping: a stop was ordered.
	Stopping
)

// Entry is one run that takes room.
type Entry struct {
	Run   work.Run
	Owner string
	Need  work.Resources
	// Estimate is the expected time at speed 1.
	Estimate time.Duration
	State    State
	// SentAt is when the start order left.
	SentAt time.Duration
	// AcceptedAt is when the start was acknowledged.
	AcceptedAt time.Duration
	// StopAcked is set once a stop order was acknowledged, at StopAckedAt.
	StopAcked   bool
	StopAckedAt time.Duration
	// percent and percentAt are the last progress that was listed.
	percent   float64
	percentAt time.Duration
	// rate is how fast the run gets on against its estimate, once sampled.
	rate    float64
	sampled bool
	// stillFrom and stillTo are the first and the last look that showed no
	// progress since the one before; zero while there is progress.
	stillFrom, stillTo time.Duration
	// Stalled is set once the run was reported as standing still.
	Stalled bool
}

// Gone is a run that no longer takes room.
type Gone struct {
	Entry Entry
	// End is zero for a run that ended without being listed: it never began,
	// or its end was not told.
	End work.End
	// Took is the time from the start order to the end.
	Took time.Duration
}

// Account is the account of one life of an endpoint.
type Account struct {
	capacity work.Resources
	used     work.Resources
	runs     map[work.Run]*Entry
	// strangers are runs that are listed but were not ordered by this runner.
	strangers map[work.Run]bool
	// removed holds when a run gave its room back, for answers that were
	// overtaken and still list it.
	removed map[work.Run]time.Duration
	// surveyed is set once the endpoint has listed its runs.
	surveyed bool
	// seen is the number of the last end that was taken note of.
	seen  int64
	speed speed
}

// removedMemory is how long a run that gave its room back is remembered.
const removedMemory = 2 * time.Second

// New returns the account of a life that has listed nothing yet.
func New(capacity work.Resources) *Account {
	return &Account{capacity: capacity, runs: map[work.Run]*Entry{}, strangers: map[work.Run]bool{}, removed: map[work.Run]time.Duration{}, speed: newSpeed()}
}

// Capacity returns what the endpoint has.
func (a *Account) Capacity() work.Resources { return a.capacity }

// SetCapacity changes what the endpoint has.
func (a *Account) SetCapacity(c work.Resources) { a.capacity = c }

// Used returns what runs take, with those that may still appear.
func (a *Account) Used() work.Resources { return a.used }

// Open tells whether starts may be ordered at all: the endpoint has listed
// its runs, and none of them is unaccounted for.
func (a *Account) Open() bool { return a.surveyed && len(a.strangers) == 0 }

// Fits tells whether a start of this size may be ordered now.
func (a *Account) Fits(need work.Resources) bool {
	return a.Open() && a.used.Plus(need).Fits(a.capacity)
}

// Seen is the number of the last end that was taken note of.
func (a *Account) Seen() int64 { return a.seen }

// Runs returns the number of runs that take room.
func (a *Account) Runs() int { return len(a.runs) }

// Strangers returns runs of an unknown origin, which have to be stopped.
func (a *Account) Strangers() []work.Run {
	var all []work.Run
	for r := range a.strangers {
		all = append(all, r)
	}
	return all
}

// Add takes room for a run whose start is about to be ordered. It returns
// false for a run that has room already.
func (a *Account) Add(e Entry, now time.Duration) bool {
	if _, found := a.runs[e.Run]; found {
		return false
	}
	e.State, e.SentAt, e.percentAt = Sent, now, now
	a.runs[e.Run] = &e
	a.used = a.used.Plus(e.Need)
	return true
}

// Get returns a run that takes room.
func (a *Account) Get(r work.Run) (*Entry, bool) {
	e, found := a.runs[r]
	return e, found
}

// OwnedBy returns the runs that an owner ordered.
func (a *Account) OwnedBy(owner string) []work.Run {
	var all []work.Run
	for r, e := range a.runs {
		if e.Owner == owner {
			all = append(all, r)
		}
	}
	return all
}

// Accepted notes that the endpoint acknowledged a start.
func (a *Account) Accepted(r work.Run, now time.Duration) {
	e, found := a.runs[r]
	if !found {
		return
	}
	if e.State == Sent || e.State == Doubtful {
		e.State = Running
	}
	e.AcceptedAt = now
}

// Refused frees the room of a run whose start was refused.
func (a *Account) Refused(r work.Run, now time.Duration) {
	if e, found := a.runs[r]; found {
		a.remove(e, now)
	}
}

// Unanswered notes that a start got no answer. It returns true if the run
// has to be stopped before its room is free.
func (a *Account) Unanswered(r work.Run) bool {
	e, found := a.runs[r]
	if !found || e.State != Sent {
		return false
	}
	e.State = Doubtful
	return true
}

// Stop notes that a stop of the run is about to be ordered. It returns false
// for a run that takes no room, or is being stopped already.
func (a *Account) Stop(r work.Run) bool {
	e, found := a.runs[r]
	if !found || e.State == Stopping {
		return false
	}
	e.State = Stopping
	return true
}

// StopAcked notes that the endpoint acknowledged a stop.
func (a *Account) StopAcked(r work.Run, now time.Duration) {
	e, found := a.runs[r]
	if !found || e.StopAcked {
		return
	}
	e.StopAcked, e.StopAckedAt = true, now
}

func (a *Account) remove(e *Entry, now time.Duration) {
	delete(a.runs, e.Run)
	a.used = a.used.Minus(e.Need)
	a.removed[e.Run] = now
}

// forget drops what is remembered of runs that went long ago.
func (a *Account) forget(now time.Duration) {
	for r, at := range a.removed {
		if now-at > removedMemory {
			delete(a.removed, r)
		}
	}
}

// Look takes over what the endpoint lists. asked is when the call left. It
// returns the runs that no longer take room.
func (a *Account) Look(look work.Look, asked, now time.Duration) []Gone {
	var gone []Gone
	for _, end := range look.Ended {
		if end.Number <= a.seen {
			continue
		}
		a.seen = end.Number
		delete(a.strangers, end.Run)
		if e, found := a.runs[end.Run]; found {
			a.remove(e, now)
			if end.End == work.EndDone {
				a.speed.ended(e, now)
			}
			gone = append(gone, Gone{Entry: *e, End: end.End, Took: now - e.SentAt})
		}
	}
	listed := a.list(look.Running, asked, now)
	gone = append(gone, a.missing(listed, asked, now)...)
	a.surveyed = true
	a.forget(now)
	return gone
}

// list notes the progress of the listed runs.
func (a *Account) list(running []work.Listed, asked, now time.Duration) map[work.Run]bool {
	listed := make(map[work.Run]bool, len(running))
	for _, l := range running {
		listed[l.Run] = true
		e, found := a.runs[l.Run]
		if !found {
			if at, known := a.removed[l.Run]; !known || at < asked {
				a.strangers[l.Run] = true
			}
			continue
		}
		if e.State == Doubtful {
			e.State = Running
			e.AcceptedAt = asked
		}
		a.speed.progress(e, l.Percent, now)
	}
	for r := range a.strangers {
		if !listed[r] {
			delete(a.strangers, r)
		}
	}
	return listed
}

// missing removes the runs that must have ended or can't appear any more:
// those that were accepted, or whose stop was acknowledged, before the call
// left and that are not listed. An endpoint that has acknowledged a stop
// refuses the run's start if that arrives later.
func (a *Account) missing(listed map[work.Run]bool, asked, now time.Duration) []Gone {
	var gone []Gone
	for r, e := range a.runs {
		if listed[r] {
			continue
		}
		accepted := e.AcceptedAt > 0 && e.AcceptedAt < asked
		stopped := e.StopAcked && e.StopAckedAt < asked
		if accepted || stopped {
			a.remove(e, now)
			gone = append(gone, Gone{Entry: *e, Took: now - e.SentAt})
		}
	}
	return gone
}

// Clear removes every run, for an endpoint whose process has ended or whose
// lease has run out.
func (a *Account) Clear(now time.Duration) []Gone {
	var gone []Gone
	for _, e := range a.runs {
		gone = append(gone, Gone{Entry: *e, Took: now - e.SentAt})
	}
	a.runs = map[work.Run]*Entry{}
	a.used = work.Resources{}
	return gone
}

// Reborn notes that the endpoint's process has been replaced under the same
// name: its ends are numbered anew. Which runs it has, those included that
// were ordered since, the next look tells.
func (a *Account) Reborn() {
	a.seen = 0
	a.surveyed = false
	a.strangers = map[work.Run]bool{}
}

// Reopen asks for a new survey before anything is started, after a time in
// which the endpoint was out of reach.
func (a *Account) Reopen() { a.surveyed = false }
