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
	// Echo is the instant of the agent's heartbeat that the stamp answers.
	Echo time.Duration
	// Age is how old the entry's own confirmation was when it answered.
	Age             time.Duration
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
	mu     sync.Mutex
	permit permit
}

// permit is the state that starts depend on.
type permit struct {
	cell       uint32
	generation uint64
	// stamped tells whether base holds an instant.
	stamped bool
	// base is the instant at which the youngest confirmation was given.
	base            time.Duration
	controlRevision uint64
	inService       bool
	leaving         bool
	running         int
}

// New returns a gate that permits nothing yet.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, records: newRecords(cfg)}
}

// Assign sets the agent's cell. Generations of different cells can't be
// compared, so a change of the cell forgets the generation and the stamp. The
// records stay.
func (g *Gate) Assign(cell uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.permit.cell == cell {
		return
	}
	g.permit.cell = cell
	g.permit.generation = 0
	g.permit.stamped = false
}

// Admit decides on a start at the instant now. When the code is OK the task's
// record exists and a slot is taken; the caller must run the task and then
// call End or Abort.
//
// The record is looked up first, because most refusals promise that the task
// did not run.
func (g *Gate) Admit(now time.Duration, s Start) Decision {
	if code := checkTask(s.Task); code != result.OK {
		return Decision{Code: code}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.records.get(s.Task); ok {
		return Decision{Code: result.AlreadyStarted, Record: r}
	}
	if code := g.checkAge(now, s.Task); code != result.OK {
		return Decision{Code: code}
	}
	if code := g.checkPermit(now, s.Cell, s.Generation); code != result.OK {
		return Decision{Code: code}
	}
	if code := g.checkRoom(s.Timeout); code != result.OK {
		return Decision{Code: code}
	}
	g.records.begin(now, s.Task, s.Digest)
	g.permit.running++
	return Decision{Code: result.OK}
}

// Recheck repeats the checks that time or the owner may have changed since a
// start was admitted. It is called just before the first byte leaves for the
// endpoint, which may be seconds later when the process was paused.
func (g *Gate) Recheck(now time.Duration, s Start) result.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkPermit(now, s.Cell, s.Generation)
}

// End records how a running task ended and frees its slot. Ending a task that
// does not run changes nothing and gives false.
func (g *Gate) End(now time.Duration, r Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.records.end(now, r) {
		return false
	}
	g.permit.running--
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
	g.permit.running--
	return true
}

// Fence forbids every generation of the cell below the one given, drops the
// stamp and returns all records. It gives false, and changes nothing, when
// the agent obeys a higher generation or belongs to another cell.
func (g *Gate) Fence(cell uint32, generation uint64) ([]Record, bool) {
	if !g.raise(cell, generation) {
		return nil, false
	}
	return g.records.all(), true
}

func (g *Gate) raise(cell uint32, generation uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation == 0 || cell != g.permit.cell || generation < g.permit.generation {
		return false
	}
	g.permit.generation = generation
	g.permit.stamped = false
	return true
}

// Stamp takes an entry's stamp at the instant now. A stamp of generation zero,
// of another generation or of another cell is only an echo and changes
// nothing. The service state is taken from the highest control revision seen.
func (g *Gate) Stamp(now time.Duration, s Stamp) {
	if s.Generation == 0 || s.Echo > now || s.Age < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &g.permit
	if s.Cell != p.cell || s.Generation != p.generation {
		return
	}
	if s.ControlRevision >= p.controlRevision {
		p.controlRevision = s.ControlRevision
		p.inService = s.InService
	}
	base := s.Echo - s.Age
	if !p.stamped || base > p.base {
		p.stamped = true
		p.base = base
	}
}

// Leave refuses all further starts.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permit.leaving = true
}

// Release drops the bodies of a submission's ended tasks. The facts of the
// starts stay.
func (g *Gate) Release(submission uuid.UUID) {
	g.records.release(submission)
}

// Expire drops the bodies and records whose retention is over. It is called
// about every second.
func (g *Gate) Expire(now time.Duration) {
	g.records.expire(now)
}

func checkTask(t Task) result.Code {
	if t.Submission.Version() != 7 {
		return result.BadSubmissionID
	}
	if t.Index >= api.MaxTasks {
		return result.Malformed
	}
	return result.OK
}

// checkAge refuses an id whose record may have been dropped. Records are
// dropped by the same clock, so a wrong wall clock refuses more or fewer ids
// but never lets a task start twice. An id from far ahead would keep its
// record for too long.
func (g *Gate) checkAge(now time.Duration, t Task) result.Code {
	age := g.cfg.Epoch.Add(now).Sub(t.time())
	if age > g.cfg.RecordRetention {
		return result.AnswerExpired
	}
	if age < -g.cfg.RecordRetention {
		return result.IDFromFuture
	}
	return result.OK
}

func (g *Gate) checkPermit(now time.Duration, cell uint32, generation uint64) result.Code {
	p := &g.permit
	if cell != p.cell || generation == 0 || generation != p.generation {
		return result.StaleGeneration
	}
	if !p.stamped || now-p.base > g.cfg.Freshness {
		return result.StaleStamp
	}
	if !p.inService {
		return result.OutOfService
	}
	return result.OK
}

func (g *Gate) checkRoom(timeout time.Duration) result.Code {
	if g.permit.leaving {
		return result.Leaving
	}
	if timeout <= 0 {
		return result.DeadlinePassed
	}
	if g.permit.running >= g.cfg.Slots {
		return result.NoFreeSlot
	}
	if g.records.full() {
		return result.Overloaded
	}
	return result.OK
}
