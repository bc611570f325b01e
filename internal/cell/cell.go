// Package cell implements the owner's side of one cell, which is a shard of the
// submissions and endpoints. A Cell holds the jobs with their tasks, the
// endpoints with the streams to their agents, and the agent list that a new
// owner needs before it may start tasks. Each Cell has its own lock. The
// current time is passed in, and the callbacks (Link and ReplyFunc) must not
// block.
//
// When an entry takes a cell over, it first fences the listed agents: each
// promises to obey only the new generation and reports the tasks that it has
// started, its records. The cell serves once the takeover is accepted and all of
// them have answered, or once so much time has passed that the previous owner
// can no longer act. An agent gets work when it is fenced, is on the stored
// agent list and has a stamp, which is a permission to start tasks for a limited
// time.
package cell

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// Link is the stream to an agent. Its methods enqueue a message and return
// without blocking.
type Link interface {
	Start(*pb.Start)
	Cancel(*pb.TaskRef)
	Fence(*pb.Fence)
}

// ReplyFunc receives the complete answer to a submission. It must not block.
type ReplyFunc func(*pb.Answer)

// Config holds a cell's identity and limits.
type Config struct {
	Number     uint32
	Generation uint64
	// Owner is the ID of the entry that owns this cell.
	Owner string
	// IDRetention is how long a submission ID is remembered after its job has
	// ended, and the maximum age of an ID when it is submitted.
	IDRetention time.Duration
	// AnswerRetention is how long a complete answer is kept for resubmissions.
	AnswerRetention time.Duration
	// MaxAnswerBytes limits the encoded size of all kept answers together. The
	// oldest are evicted first.
	MaxAnswerBytes int64
	// ClockSkew is the maximum difference between the clocks of two entries.
	ClockSkew time.Duration
	// LostAfter is how long an agent may be without a stream before the
	// outcomes of its tasks count as unknown.
	LostAfter time.Duration
	// Freshness is how long a previous owner may continue to act after a
	// takeover was accepted.
	Freshness time.Duration
	// MaxPending limits the submissions that are held until the cell serves.
	MaxPending int
	Sched      sched.Config
	// IsFresh reports whether the entry's confirmation is recent enough to
	// start tasks.
	IsFresh func(now time.Time) bool
}

// phase is the stage of an ownership. A cell is fencing until no previous owner
// can start tasks any more; only then does it serve.
type phase int

const (
	fencing phase = iota
	serving
	closed
)

func (p phase) String() string { return [...]string{"fencing", "serving", "closed"}[p] }

// Cell is a cell that this entry owns. Its methods are safe for concurrent use.
type Cell struct {
	mu      sync.Mutex
	cfg     Config
	sched   *sched.Scheduler
	phase   phase
	control *control.Document
	// jobs holds all jobs that are remembered; active holds those that have not
	// ended.
	jobs   map[sched.Key]*job
	active map[sched.Key]*job
	// ended lists the ended jobs in the order in which they ended. heldAnswers
	// is the part of it whose answers are still kept.
	ended       []*job
	heldAnswers []*job
	// heldAnswerBytes is the encoded size of the answers in heldAnswers.
	heldAnswerBytes int64
	// records holds the reported starts of unknown jobs, by submission and task
	// index, until the job is submitted again.
	records   map[sched.Key]map[uint32]*record
	endpoints map[string]*endpoint
	agentList AgentList
	// acceptedAt is when this ownership was accepted, or zero before that.
	acceptedAt time.Time
	// recordGaps holds, by incarnation, the agents whose records are missing.
	// The value is the time up to which submission IDs may have been started
	// there.
	recordGaps map[string]time.Time
	// pending holds the submissions that arrived in the fencing phase.
	pending []pendingSubmission
	// servingSince is when the cell left the fencing phase.
	servingSince   time.Time
	counters       Counters
	recordsSweptAt time.Time
	auditedAt      time.Time
	// stampsInvalidated is set while the entry's confirmation is out of date,
	// so that the agents' stamps are invalidated once and not in every tick.
	stampsInvalidated bool
	// lastAuditError is the error of the last failed scheduler audit.
	lastAuditError string
}

type pendingSubmission struct {
	submission *pb.Submission
	reply      ReplyFunc
	receivedAt time.Time
	cancelled  bool
}

// New returns a cell in the fencing phase. l is the agent list that the previous
// owner left in the store.
func New(cfg Config, d *control.Document, l AgentList, rnd *rand.Rand, now time.Time) *Cell {
	c := &Cell{
		cfg:        cfg,
		sched:      sched.New(cfg.Sched, rnd),
		jobs:       map[sched.Key]*job{},
		active:     map[sched.Key]*job{},
		records:    map[sched.Key]map[uint32]*record{},
		endpoints:  map[string]*endpoint{},
		recordGaps: map[string]time.Time{},
	}
	c.initAgentList(l, now)
	c.applyControl(d, now)
	return c
}

// Generation returns the generation under which the cell is owned.
func (c *Cell) Generation() uint64 { return c.cfg.Generation }

// Number returns the cell's number.
func (c *Cell) Number() uint32 { return c.cfg.Number }

// ApplyControl applies a control document if it is newer than the present one.
func (c *Cell) ApplyControl(d *control.Document, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control != nil && d.Revision <= c.control.Revision {
		return
	}
	c.applyControl(d, now)
	c.dispatch(now)
}

func (c *Cell) applyControl(d *control.Document, now time.Time) {
	c.control = d
	c.sched.SetTeams(now, schedulerTeams(d))
	for _, e := range c.sortedEndpoints(anyEndpoint) {
		c.updateEndpoint(e, now)
	}
}

// schedulerTeams returns the team settings for one cell. Quotas are divided by
// the number of cells and rounded up.
func schedulerTeams(d *control.Document) []sched.Team {
	cells := max(1, len(d.Cells))
	teams := make([]sched.Team, 0, len(d.Config.Teams))
	for _, t := range d.Config.Teams {
		teams = append(teams, sched.Team{
			Name:       t.Name,
			Weight:     t.Weight,
			MaxRunning: cellShare(t.MaxRunning, cells),
			MaxQueued:  cellShare(t.MaxQueued, cells),
			Domains:    t.Domains,
		})
	}
	return teams
}

func cellShare(limit, cells int) int {
	if limit == 0 {
		return 0
	}
	return (limit + cells - 1) / cells
}

// Close stops the cell. No further task starts, and every submission that waits
// for an answer gets NotOwner, so that the entry that received it asks the new
// owner.
func (c *Cell) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		return
	}
	c.phase = closed
	for _, p := range c.pending {
		p.reply(c.newAnswer(p.submission.GetId(), result.NotOwner, ""))
	}
	c.pending = nil
	for _, j := range c.sortedActiveJobs(func(*job) bool { return true }) {
		c.reply(j, c.newAnswer(j.key[:], result.NotOwner, ""))
	}
}

// Idle reports whether no job is waiting or running and no submission is held
// until the cell serves.
func (c *Cell) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && len(c.pending) == 0
}

// Tick handles what depends on time alone: deadlines, lost agents, the end of
// the fencing phase and the expiry of retained state. Call it several times a
// second.
func (c *Cell) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		return
	}
	c.maybeServe(now)
	c.expireDetachedEndpoints(now)
	c.markMissingDeparted(now)
	c.enforceDeadlines(now)
	c.expireRetained(now)
	c.auditScheduler(now)
	c.dispatch(now)
}

// auditInterval is the time between two full checks of the scheduler's
// invariants.
const auditInterval = time.Second

func (c *Cell) auditScheduler(now time.Time) {
	if now.Sub(c.auditedAt) < auditInterval {
		return
	}
	c.auditedAt = now
	if err := c.sched.Audit(now); err != nil {
		c.counters.InvariantFailures++
		c.lastAuditError = err.Error()
	}
}

// idTime returns the wall clock time in a submission ID, which is a UUID of
// version 7.
func idTime(key sched.Key) time.Time {
	sec, nsec := uuid.UUID(key).Time().UnixTime()
	return time.Unix(sec, nsec)
}
