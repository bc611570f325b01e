package sched

import (
	"math"
	"time"
)

// health is an endpoint's state with regard to failures and slowness.
type health int

const (
	// healthy endpoints are given tasks.
	healthy health = iota
	// ejected endpoints are given no tasks until ejectedUntil.
	ejected
	// probing endpoints are given one task at a time.
	probing
)

// domain is a failure domain with its available endpoints.
type domain struct {
	name string
	// endpoints is the number of known endpoints in the domain.
	endpoints int
	// usableSlots is the number of slots on endpoints that are in service and
	// healthy.
	usableSlots int
	available   indexedHeap[*endpoint, byPreference]
	// recount is used by CheckInvariants only.
	recount int
}

// endpoint is the scheduling state of one endpoint.
type endpoint struct {
	Endpoint
	domain  *domain
	running int
	done    int64
	failed  int64
	// inServiceSlots and usableSlots are what the endpoint currently
	// contributes to the Scheduler's totals of the same names.
	inServiceSlots int
	usableSlots    int
	// outOfServiceSince is when it was last in service, if it is not now.
	outOfServiceSince time.Time
	// rampStart is when its ramp began; zero if there is none.
	rampStart time.Time
	// backoffUntil is until when it is given no tasks because it refused a
	// start.
	backoffUntil time.Time
	health       health
	// ejectedUntil is when the current ejection ends.
	ejectedUntil time.Time
	// ejections counts the ejections since the endpoint last completed
	// ejectionResetCompletions tasks without one. It sets the length of the
	// next ejection.
	ejections int
	// completions counts the completed tasks since the last ejection.
	completions int
	// probeSuccesses counts the successive successful tasks while probing.
	probeSuccesses int
	// excessFailureRate is how far its moving failure rate exceeds its teams'
	// own.
	excessFailureRate movingRate
	// logSlowness is the moving mean of the logarithm of run time over normal
	// run time.
	logSlowness float64
	// logVariance is the moving mean of the variance that the logarithms of
	// its tasks' run times normally have.
	logVariance float64
	runTimes    runTimeStats
	// slowLogLikelihood is the log likelihood ratio, from the probes, of a
	// slow over a normal endpoint.
	slowLogLikelihood float64
	// lastAssignment is the value of Scheduler.assignments when it was last
	// given a task.
	lastAssignment uint64
	// score ranks available endpoints; lower is better.
	score float64
	// availableIndex and wakeupIndex are its indexes in the two heaps, or -1.
	availableIndex int
	wakeupIndex    int
	// wakeupTime is when the number of allowed tasks may rise with no other
	// event; zero if it will not.
	wakeupTime time.Time
	// removed is set by RemoveEndpoint; the endpoint is kept until its running
	// tasks end.
	removed bool
	// recount is used by CheckInvariants only.
	recount int
}

// slowness returns the learned run time over the normal one; 1 is normal.
func (e *endpoint) slowness() float64 { return math.Exp(e.logSlowness) }

// allowed returns how many tasks may run at now, and when that number may rise
// with no other event (zero for never).
func (e *endpoint) allowed(now time.Time, cfg *Config) (int, time.Time) {
	if e.State != InService {
		return 0, time.Time{}
	}
	if now.Before(e.backoffUntil) {
		return 0, e.backoffUntil
	}
	switch e.health {
	case ejected:
		if now.Before(e.ejectedUntil) {
			return 0, e.ejectedUntil
		}
		return min(1, e.Slots), time.Time{}
	case probing:
		return min(1, e.Slots), time.Time{}
	}
	limit := e.Slots
	if slowness := e.slowness(); slowness >= cfg.Learning.StragglerThreshold {
		limit = min(limit, max(1, int(float64(e.Slots)/slowness)))
	}
	return e.rampLimit(now, cfg.Ramp.Duration, limit)
}

// rampLimit returns limit reduced to the slots that the ramp has opened so far,
// and when the ramp opens the next one.
func (e *endpoint) rampLimit(now time.Time, duration time.Duration, limit int) (int, time.Time) {
	if e.rampStart.IsZero() || e.Slots == 0 {
		return limit, time.Time{}
	}
	elapsed := now.Sub(e.rampStart)
	if elapsed >= duration {
		return limit, time.Time{}
	}
	step := duration / time.Duration(e.Slots)
	if step <= 0 {
		return limit, time.Time{}
	}
	opened := 1 + int(elapsed/step)
	if opened >= limit {
		return limit, time.Time{}
	}
	return opened, e.rampStart.Add(time.Duration(opened) * step)
}

// ramping reports whether the ramp is still in progress.
func (e *endpoint) ramping(now time.Time, duration time.Duration) bool {
	return !e.rampStart.IsZero() && now.Sub(e.rampStart) < duration
}

// preferredTo reports whether e comes before f, by score, then least recently used
// first.
func (e *endpoint) preferredTo(f *endpoint) bool {
	if e.score != f.score {
		return e.score < f.score
	}
	return e.lastAssignment < f.lastAssignment
}

// byPreference orders available endpoints, the preferred one first.
type byPreference struct{}

func (byPreference) before(a, b *endpoint) bool { return a.preferredTo(b) }
func (byPreference) index(e *endpoint) *int     { return &e.availableIndex }

// byWakeup orders endpoints by wakeup time.
type byWakeup struct{}

func (byWakeup) before(a, b *endpoint) bool { return a.wakeupTime.Before(b.wakeupTime) }
func (byWakeup) index(e *endpoint) *int     { return &e.wakeupIndex }
