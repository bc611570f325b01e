// Package gate implements the agent's start gate. The gate decides whether a
// task may start now, and it keeps the records of the tasks that were started.
// It reads no clock: all times are passed in, as durations on the agent's own
// monotonic clock.
//
// A start must carry the generation of the cell's present owner, and the agent
// must have a recent stamp. A stamp is an entry's permission to start tasks for
// a limited time, sent in answer to a heartbeat.
package gate

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Config holds the limits of a Gate.
type Config struct {
	// Slots is the number of tasks that may run at once.
	Slots int
	// Freshness is the maximum age of the stamp that a start relies on.
	Freshness time.Duration
	// RecordRetention is the maximum age of a submission that may start,
	// counted from the time in its ID. It must not be less than the entries'
	// retention of IDs. Records are kept longer than that.
	RecordRetention time.Duration
	// BodyRetention is how long the body of an ended task is kept unless it is
	// released earlier.
	BodyRetention time.Duration
	// MaxHeldBytes limits the size of all kept bodies of ended tasks together.
	MaxHeldBytes int64
	// MaxRecords limits the number of records.
	MaxRecords int64
	// Epoch is the wall clock time at time zero of the agent's clock. It is
	// only compared with the times in submission IDs.
	Epoch time.Time
}

// Start is a request to start one task.
type Start struct {
	Cell       uint32
	Generation uint64
	Task       Task
	// Digest tells the submission apart from one with the same ID and another
	// body.
	Digest uint64
	// Timeout is the time that remains until the deadline.
	Timeout time.Duration
}

// Decision is the result of Admit.
type Decision struct {
	// Code is OK if the task must now be run, and otherwise the reason why it
	// must not.
	Code result.Code
	// Record is the task's record if Code is AlreadyStarted.
	Record Record
}

// Gate decides on starts. Its methods are safe for concurrent use.
type Gate struct {
	cfg     Config
	records *records

	// mu orders starts and fences: a start that is admitted under an older
	// generation has its record before the fence collects the records.
	mu         sync.Mutex
	conditions startConditions
}

// startConditions is the state that decides whether a task may start.
type startConditions struct {
	cell       uint32
	generation uint64
	// stamped is false while confirmedAt is not set.
	stamped bool
	// confirmedAt is when the latest known confirmation was given.
	confirmedAt     time.Duration
	controlRevision uint64
	inService       bool
	leaving         bool
	running         int
}

// New returns a gate that admits nothing until it has a generation and a stamp.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, records: newRecords(cfg)}
}

// AssignCell sets the agent's cell. Generations of different cells cannot be
// compared, so a change of the cell clears the generation and the stamp. The
// records are kept.
func (g *Gate) AssignCell(cell uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conditions.cell == cell {
		return
	}
	g.conditions.cell = cell
	g.conditions.generation = 0
	g.conditions.stamped = false
}

// Admit decides on a start at the given time. If the code is OK, the task has a
// record and occupies a slot; the caller must run the task and then call End or
// Abort.
//
// The record is looked up before anything else, because most refusals promise
// that the task did not run.
func (g *Gate) Admit(now time.Duration, s Start) Decision {
	if code := checkTaskID(s.Task); code != result.OK {
		return Decision{Code: code}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.records.get(s.Task); ok {
		return Decision{Code: result.AlreadyStarted, Record: r}
	}
	if code := g.checkIDAge(now, s.Task); code != result.OK {
		return Decision{Code: code}
	}
	if code := g.checkAuthority(now, s.Cell, s.Generation); code != result.OK {
		return Decision{Code: code}
	}
	if code := g.checkCapacity(s.Timeout); code != result.OK {
		return Decision{Code: code}
	}
	g.records.start(now, s.Task, s.Digest)
	g.conditions.running++
	return Decision{Code: result.OK}
}

// Recheck repeats the checks of a start that time or the owner may have changed
// since it was admitted: the generation, the age of the stamp and the service
// state. It is called just before the first byte is sent to the endpoint, which
// may be seconds later if the process was paused.
func (g *Gate) Recheck(now time.Duration, s Start) result.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkAuthority(now, s.Cell, s.Generation)
}

// End records how a running task ended and frees its slot. It changes nothing
// and returns false if the task is not running.
func (g *Gate) End(now time.Duration, r Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.records.end(now, r) {
		return false
	}
	g.conditions.running--
	return true
}

// Abort removes the record of a running task and frees its slot. It may only be
// called if no byte of the request was sent to the endpoint: the task has not
// started then, and a later start of it is the first one.
func (g *Gate) Abort(t Task) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.records.abort(t) {
		return false
	}
	g.conditions.running--
	return true
}

// Fence forbids every generation of the cell below the given one, clears the
// stamp and returns all records. It changes nothing and returns false if the
// generation is zero, or if the agent obeys a higher one or belongs to another
// cell.
func (g *Gate) Fence(cell uint32, generation uint64) ([]Record, bool) {
	if !g.raiseGeneration(cell, generation) {
		return nil, false
	}
	return g.records.all(), true
}

func (g *Gate) raiseGeneration(cell uint32, generation uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation == 0 || cell != g.conditions.cell || generation < g.conditions.generation {
		return false
	}
	g.conditions.generation = generation
	g.conditions.stamped = false
	return true
}

// SetLeaving makes the gate refuse all further starts.
func (g *Gate) SetLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conditions.leaving = true
}

// ReleaseBodies drops the bodies of a submission's ended tasks. The records of
// the starts are kept.
func (g *Gate) ReleaseBodies(submission uuid.UUID) {
	g.records.release(submission)
}

// Expire drops the bodies and records whose retention has passed. Call it about
// once a second.
func (g *Gate) Expire(now time.Duration) {
	g.records.expire(now)
}

func checkTaskID(t Task) result.Code {
	if t.Submission.Version() != 7 {
		return result.BadSubmissionID
	}
	if t.Index >= api.MaxTasks {
		return result.Malformed
	}
	return result.OK
}

// checkIDAge refuses an ID whose record may have been dropped. Records expire
// by the same clock, so with a wrong wall clock more or fewer IDs are refused,
// but no task starts twice. An ID from the far future is refused because its
// record would be kept for too long.
func (g *Gate) checkIDAge(now time.Duration, t Task) result.Code {
	age := g.cfg.Epoch.Add(now).Sub(t.idTime())
	if age > g.cfg.RecordRetention {
		return result.AnswerExpired
	}
	if age < -g.cfg.RecordRetention {
		return result.IDFromFuture
	}
	return result.OK
}

// checkAuthority checks that the start comes from the current owner, that the
// stamp is fresh and that the endpoint is in service.
func (g *Gate) checkAuthority(now time.Duration, cell uint32, generation uint64) result.Code {
	c := &g.conditions
	if cell != c.cell || generation == 0 || generation != c.generation {
		return result.StaleGeneration
	}
	if !c.stamped || now-c.confirmedAt > g.cfg.Freshness {
		return result.StaleStamp
	}
	if !c.inService {
		return result.OutOfService
	}
	return result.OK
}

func (g *Gate) checkCapacity(timeout time.Duration) result.Code {
	if g.conditions.leaving {
		return result.Leaving
	}
	if timeout <= 0 {
		return result.DeadlinePassed
	}
	if g.conditions.running >= g.cfg.Slots {
		return result.NoFreeSlot
	}
	if g.records.full() {
		return result.Overloaded
	}
	return result.OK
}
