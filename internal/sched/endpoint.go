package sched

import (
	"math"
	"time"
)

// health is where an endpoint stands with regard to its failures.
type health int

const (
	// healthy endpoints get work.
	healthy health = iota
	// ejected endpoints get none until their hold is over.
	ejected
	// probing endpoints get one task at a time.
	probing
)

// domain is a failure domain with its endpoints that have room.
type domain struct {
	name string
	// endpoints counts the known endpoints.
	endpoints int
	// usableSlots is the slots of endpoints in service that are not ejected.
	usableSlots int
	available   availableHeap
	// recount is for Check only.
	recount int
}

// endpoint is an endpoint with its slots.
type endpoint struct {
	Endpoint
	domain  *domain
	running int
	done    int64
	failed  int64
	// inServiceSlots and usable are what it adds to the sums of slots in service and
	// of usable slots.
	inServiceSlots int
	usableSlots    int
	// outOfServiceSince is when it was last in service, while it is not.
	outOfServiceSince time.Time
	// rampStart is when its ramp began; zero when there is none.
	rampStart time.Time
	// backoffUntil is until when it gets no work after a refusal.
	backoffUntil time.Time
	health       health
	// ejectedUntil is the end of the hold while ejected.
	ejectedUntil time.Time
	// ejections counts ejections since the endpoint last became healthy for
	// good, and sets the next hold.
	ejections int
	// completions counts ended tasks since the last ejection.
	completions int
	// probeSuccesses counts successes in a row while probing.
	probeSuccesses int
	// excessFailureRate is the moving failure rate beyond the teams' own.
	excessFailureRate movingRate
	// logSlowness is the moving logarithm of run time over the usual one.
	logSlowness float64
	// logVariance is the moving variance of the tasks' logarithms.
	logVariance float64
	runTimes    runTimeStats
	// slowLogLikelihood is the log likelihood ratio of slow over usual from the
	// probes.
	slowLogLikelihood float64
	// lastAssignment is the Scheduler's count of assignments at the last one here.
	lastAssignment uint64
	// score orders endpoints with room; lower is better.
	score float64
	// availableIndex and wakeAt are places in heaps, or -1.
	availableIndex int
	wakeupIndex    int
	// wakeupTime is when its room may change by itself; zero for never.
	wakeupTime time.Time
	// removed is set by RemoveEndpoint while tasks still run.
	removed bool
	// recount is for Check only.
	recount int
}

// slowness returns the learned run time over the usual one; 1 is usual.
func (e *endpoint) slowness() float64 { return math.Exp(e.logSlowness) }

// allowed returns how many tasks may run at now, and when that may rise by
// itself (zero for never).
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
	if slow := e.slowness(); slow >= cfg.Learning.StragglerThreshold {
		limit = min(limit, max(1, int(float64(e.Slots)/slow)))
	}
	return e.rampLimit(now, cfg.Ramp.Duration, limit)
}

// rampLimit bounds limit by the ramp.
func (e *endpoint) rampLimit(now time.Time, length time.Duration, limit int) (int, time.Time) {
	if e.rampStart.IsZero() || e.Slots == 0 {
		return limit, time.Time{}
	}
	passed := now.Sub(e.rampStart)
	if passed >= length {
		return limit, time.Time{}
	}
	step := length / time.Duration(e.Slots)
	if step <= 0 {
		return limit, time.Time{}
	}
	open := 1 + int(passed/step)
	if open >= limit {
		return limit, time.Time{}
	}
	return open, e.rampStart.Add(time.Duration(open) * step)
}

// ramping tells whether the ramp still goes on.
func (e *endpoint) ramping(now time.Time, length time.Duration) bool {
	return !e.rampStart.IsZero() && now.Sub(e.rampStart) < length
}

// availableHeap orders endpoints with room by score, then the least recently used.
type availableHeap []*endpoint

func (h availableHeap) Len() int           { return len(h) }
func (h availableHeap) Less(a, b int) bool { return h[a].preferredTo(h[b]) }

func (e *endpoint) preferredTo(f *endpoint) bool {
	if e.score != f.score {
		return e.score < f.score
	}
	return e.lastAssignment < f.lastAssignment
}

func (h availableHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].availableIndex = a
	h[b].availableIndex = b
}

// Push is for container/heap only.
func (h *availableHeap) Push(x any) {
	e := x.(*endpoint)
	e.availableIndex = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap only.
func (h *availableHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.availableIndex = -1
	return e
}

// wakeupHeap orders endpoints by the time at which their room may change.
type wakeupHeap []*endpoint

func (h wakeupHeap) Len() int           { return len(h) }
func (h wakeupHeap) Less(a, b int) bool { return h[a].wakeupTime.Before(h[b].wakeupTime) }

func (h wakeupHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].wakeupIndex = a
	h[b].wakeupIndex = b
}

// Push is for container/heap only.
func (h *wakeupHeap) Push(x any) {
	e := x.(*endpoint)
	e.wakeupIndex = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap only.
func (h *wakeupHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.wakeupIndex = -1
	return e
}
