// Package gate is the agent's start gate: it decides whether a task may start
// now, and holds the records of the tasks that were started. It is pure: all
// instants are passed in, as durations on the agent's own monotonic clock.
package gate

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Config bounds a Gate.
type Config struct {
	// Slots is the number of tasks that may run at once.
	Slots int
	// Freshness is the greatest age of the stamp that a start may rely on.
	Freshness time.Duration
	// RecordRetention is the age, counted from the time in the submission id,
	// up to which a submission may start. The records outlive it. It must not
	// be less than the entries' retention of ids.
	RecordRetention time.Duration
	// BodyRetention is how long the body of an ended task is held unless it
	// is released before.
	BodyRetention time.Duration
	// MaxBodyBytes bounds the held bodies of ended tasks together, in bytes.
	MaxBodyBytes int64
	// MaxRecords bounds the number of records.
	MaxRecords int64
	// Epoch is the wall clock time at instant zero. It is only compared with
	// the times in submission ids.
	Epoch time.Time
}

// Start is a request to start one task.
type Start struct {
	Cell       uint32
	Generation uint64
	Task       Task
	// Digest tells the submission's body from another's under the same id.
	Digest uint64
	// Timeout is what remains until the deadline.
	Timeout time.Duration
}

// Stamp is an entry's permission to start tasks for a bounded time.
type Stamp struct {
	// HeartbeatSentAt is the instant of the agent's heartbeat that the stamp answers.
	HeartbeatSentAt time.Duration
	// ConfirmationAge is how old the entry's own confirmation was when it answered.
	ConfirmationAge time.Duration
	Cell            uint32
	Generation      uint64
	ControlRevision uint64
	InService       bool
}

// Decision is the answer to a Start.
type Decision struct {
	// Code is OK when the task must now be run, and otherwise the reason why
	// it must not.
	Code result.Code
	// Record is what is known of the task when Code is AlreadyStarted.
	Record Record
}

// Gate decides on starts. All methods may be called at the same time.
type Gate struct {
	cfg     Config
	records *records

	// mu orders starts against fences: a start that passed under an older
	// generation has its record before the fence collects the records.
	mu   sync.Mutex
	cond startConditions
}

// startConditions is the state that starts depend on.
type startConditions struct {
	cell       uint32
	generation uint64
	// stamped tells whether base holds an instant.
	stamped bool
	// confirmedAt is the instant at which the youngest confirmation was given.
	confirmedAt     time.Duration
	controlRevision uint64
	inService       bool
	leaving         bool
	running         int
}

// New returns a gate that permits nothing yet.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, records: newRecords(cfg)}
}

// AssignCell sets the agent's cell. Generations of different cells can't be
// compared, so a change of the cell forgets the generation and the stamp. The
// records stay.
func (g *Gate) AssignCell(cell uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cond.cell == cell {
		return
	}
	g.cond.cell = cell
	g.cond.generation = 0
	g.cond.stamped = false
}

// Admit decides on a start at the instant now. When the code is OK the task's
// record exists and a slot is taken; the caller must run the task and then
// call End or Abort.
//
// The record is looked up first, because most refusals promise that the task
// did not run.
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
	g.cond.running++
	return Decision{Code: result.OK}
}

// Recheck repeats the checks that time or the owner may have changed since a
// start was admitted. It is called just before the first byte leaves for the
// endpoint, which may be seconds later when the process was paused.
func (g *Gate) Recheck(now time.Duration, s Start) result.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkAuthority(now, s.Cell, s.Generation)
}

// End records how a running task ended and frees its slot. Ending a task that
// does not run changes nothing and gives false.
func (g *Gate) End(now time.Duration, r Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.records.end(now, r) {
		return false
	}
	g.cond.running--
	return true
}

// Abort removes the record of a running task and frees its slot. It may only
// be called when no byte of the request left for the endpoint: then the task
// did not start, so that a later start of it is the first one.
func (g *Gate) Abort(t Task) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.records.abort(t) {
		return false
	}
	g.cond.running--
	return true
}

// Fence forbids every generation of the cell below the one given, drops the
// stamp and returns all records. It gives false, and changes nothing, when
// the agent obeys a higher generation or belongs to another cell.
func (g *Gate) Fence(cell uint32, generation uint64) ([]Record, bool) {
	if !g.raiseGeneration(cell, generation) {
		return nil, false
	}
	return g.records.all(), true
}

func (g *Gate) raiseGeneration(cell uint32, generation uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation == 0 || cell != g.cond.cell || generation < g.cond.generation {
		return false
	}
	g.cond.generation = generation
	g.cond.stamped = false
	return true
}

// ApplyStamp takes an entry's stamp at the instant now. A stamp of generation zero,
// of another generation or of another cell is only an echo and changes
// nothing. The service state is taken from the highest control revision seen.
func (g *Gate) ApplyStamp(now time.Duration, s Stamp) {
	if s.Generation == 0 || s.HeartbeatSentAt > now || s.ConfirmationAge < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &g.cond
	if s.Cell != p.cell || s.Generation != p.generation {
		return
	}
	if s.ControlRevision >= p.controlRevision {
		p.controlRevision = s.ControlRevision
		p.inService = s.InService
	}
	base := s.HeartbeatSentAt - s.ConfirmationAge
	if !p.stamped || base > p.confirmedAt {
		p.stamped = true
		p.confirmedAt = base
	}
}

// SetLeaving refuses all further starts.
func (g *Gate) SetLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cond.leaving = true
}

// ReleaseBodies drops the bodies of a submission's ended tasks. The facts of the
// starts stay.
func (g *Gate) ReleaseBodies(submission uuid.UUID) {
	g.records.release(submission)
}

// Expire drops the bodies and records whose retention is over. It is called
// about every second.
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

// checkIDAge refuses an id whose record may have been dropped. Records are
// dropped by the same clock, so a wrong wall clock refuses more or fewer ids
// but never lets a task start twice. An id from far ahead would keep its
// record for too long.
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

func (g *Gate) checkAuthority(now time.Duration, cell uint32, generation uint64) result.Code {
	p := &g.cond
	if cell != p.cell || generation == 0 || generation != p.generation {
		return result.StaleGeneration
	}
	if !p.stamped || now-p.confirmedAt > g.cfg.Freshness {
		return result.StaleStamp
	}
	if !p.inService {
		return result.OutOfService
	}
	return result.OK
}

func (g *Gate) checkCapacity(timeout time.Duration) result.Code {
	if g.cond.leaving {
		return result.Leaving
	}
	if timeout <= 0 {
		return result.DeadlinePassed
	}
	if g.cond.running >= g.cfg.Slots {
		return result.NoFreeSlot
	}
	if g.records.full() {
		return result.Overloaded
	}
	return result.OK
}
