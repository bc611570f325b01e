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
	// usable is the slots of endpoints in service that are not ejected.
	usable int
	room   roomHeap
	// tally is for Check only.
	tally int
}

// endpoint is an endpoint with its slots.
type endpoint struct {
	Endpoint
	domain  *domain
	running int
	done    int64
	failed  int64
	// counted and usable are what it adds to the sums of slots in service and
	// of usable slots.
	counted int
	usable  int
	// awaySince is when it was last in service, while it is not.
	awaySince time.Time
	// rampFrom is when its ramp began; zero when there is none.
	rampFrom time.Time
	// refusedUntil is until when it gets no work after a refusal.
	refusedUntil time.Time
	health       health
	// ejectedUntil is the end of the hold while ejected.
	ejectedUntil time.Time
	// ejections counts ejections since the endpoint last became healthy for
	// good, and sets the next hold.
	ejections int
	// endings counts ended tasks since the last ejection.
	endings int
	// probes counts successes in a row while probing.
	probes int
	// excess is the moving failure rate beyond the teams' own.
	excess rate
	// logSlowness is the moving logarithm of run time over the usual one.
	logSlowness float64
	// logVariance is the moving variance of the tasks' logarithms.
	logVariance float64
	runs        runMean
	// slowEvidence is the log likelihood ratio of slow over usual from the
	// probes.
	slowEvidence float64
	// served is the Scheduler's count of assignments at the last one here.
	served uint64
	// score orders endpoints with room; lower is better.
	score float64
	// roomAt and wakeAt are places in heaps, or -1.
	roomAt int
	wakeAt int
	// wake is when its room may change by itself; zero for never.
	wake time.Time
	// removed is set by RemoveEndpoint while tasks still run.
	removed bool
	// tally is for Check only.
	tally int
}

// slowness returns the learned run time over the usual one; 1 is usual.
func (e *endpoint) slowness() float64 { return math.Exp(e.logSlowness) }

// allowed returns how many tasks may run at now, and when that may rise by
// itself (zero for never).
func (e *endpoint) allowed(now time.Time, cfg *Config) (int, time.Time) {
	if e.State != InService {
		return 0, time.Time{}
	}
	if now.Before(e.refusedUntil) {
		return 0, e.refusedUntil
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
	if slow := e.slowness(); slow >= cfg.Learning.StragglerSlowness {
		limit = min(limit, max(1, int(float64(e.Slots)/slow)))
	}
	return e.ramped(now, cfg.Ramp.Length, limit)
}

// ramped bounds limit by the ramp.
func (e *endpoint) ramped(now time.Time, length time.Duration, limit int) (int, time.Time) {
	if e.rampFrom.IsZero() || e.Slots == 0 {
		return limit, time.Time{}
	}
	passed := now.Sub(e.rampFrom)
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
	return open, e.rampFrom.Add(time.Duration(open) * step)
}

// ramping tells whether the ramp still goes on.
func (e *endpoint) ramping(now time.Time, length time.Duration) bool {
	return !e.rampFrom.IsZero() && now.Sub(e.rampFrom) < length
}

// roomHeap orders endpoints with room by score, then the least recently used.
type roomHeap []*endpoint

func (h roomHeap) Len() int           { return len(h) }
func (h roomHeap) Less(a, b int) bool { return h[a].better(h[b]) }

func (e *endpoint) better(f *endpoint) bool {
	if e.score != f.score {
		return e.score < f.score
	}
	return e.served < f.served
}

func (h roomHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].roomAt = a
	h[b].roomAt = b
}

// Push is for container/heap only.
func (h *roomHeap) Push(x any) {
	e := x.(*endpoint)
	e.roomAt = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap only.
func (h *roomHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.roomAt = -1
	return e
}

// wakeHeap orders endpoints by the time at which their room may change.
type wakeHeap []*endpoint

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(a, b int) bool { return h[a].wake.Before(h[b].wake) }

func (h wakeHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].wakeAt = a
	h[b].wakeAt = b
}

// Push is for container/heap only.
func (h *wakeHeap) Push(x any) {
	e := x.(*endpoint)
	e.wakeAt = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap only.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.wakeAt = -1
	return e
}
