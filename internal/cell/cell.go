// Package cell is the owner's side of one cell: the jobs with their tasks,
// the endpoints with their links, and what a new owner must know before it
// may start anything. Each cell is a shard under its own lock; time is passed
// in, replies and links must not block.
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

// Link is the stream to an agent. Its methods queue and return at once.
type Link interface {
	Start(*pb.Start)
	Cancel(*pb.TaskRef)
	Fence(*pb.Fence)
}

// ReplyFunc takes the whole answer to a submission; it must not block.
type ReplyFunc func(*pb.Answer)

// Config holds a cell's identity and limits.
type Config struct {
	Number     uint32
	Generation uint64
	// Owner is the entry that runs this cell.
	Owner string
	// IDRetention is how long a submission id is remembered after the job
	// ended, and how old an id may be at its submission.
	IDRetention time.Duration
	// AnswerRetention is how long a whole answer is held for resubmission.
	AnswerRetention time.Duration
	// MaxAnswerBytes bounds the encoded size of all answers held; the oldest
	// go first.
	MaxAnswerBytes int64
	// ClockSkew bounds the difference between the clocks of two entries.
	ClockSkew time.Duration
	// LostAfter is how long an agent may be without a stream until its tasks'
	// outcomes count as unknown.
	LostAfter time.Duration
	// Freshness is how long an old owner may go on after a takeover was
	// accepted.
	Freshness time.Duration
	// MaxPending bounds the submissions held until the cell serves.
	MaxPending int
	Sched      sched.Config
	// IsFresh tells whether the entry may start work now.
	IsFresh func(now time.Time) bool
}

type phase int

const (
	fencing phase = iota
	serving
	closed
)

func (p phase) String() string { return [...]string{"fencing", "serving", "closed"}[p] }

// Counters count what a cell has done since it began.
type Counters struct {
	StartsSent        int64 `json:"starts_sent"`
	OutcomesReceived  int64 `json:"outcomes_received"`
	RefusalsReceived  int64 `json:"refusals_received"`
	DuplicateOutcomes int64 `json:"duplicate_outcomes"`
	CancelsSent       int64 `json:"cancels_sent"`
	JobsAdmitted      int64 `json:"jobs_admitted"`
	JobsRefused       int64 `json:"jobs_refused"`
	JobsDone          int64 `json:"jobs_done"`
	JobsFailed        int64 `json:"jobs_failed"`
	Resubmissions     int64 `json:"resubmissions"`
	OutcomeUnknown    int64 `json:"outcome_unknown"`
	InvariantFailures int64 `json:"invariant_failures"`
}

// Add adds what another cell has counted.
func (c *Counters) Add(o Counters) {
	c.StartsSent += o.StartsSent
	c.OutcomesReceived += o.OutcomesReceived
	c.RefusalsReceived += o.RefusalsReceived
	c.DuplicateOutcomes += o.DuplicateOutcomes
	c.CancelsSent += o.CancelsSent
	c.JobsAdmitted += o.JobsAdmitted
	c.JobsRefused += o.JobsRefused
	c.JobsDone += o.JobsDone
	c.JobsFailed += o.JobsFailed
	c.Resubmissions += o.Resubmissions
	c.OutcomeUnknown += o.OutcomeUnknown
	c.InvariantFailures += o.InvariantFailures
}

// Cell is one owned cell. Its methods may be called from any goroutine.
type Cell struct {
	mu      sync.Mutex
	cfg     Config
	sched   *sched.Scheduler
	phase   phase
	control *control.Document
	jobs    map[sched.Key]*job
	active  map[sched.Key]*job
	// ended lists the ended jobs by time; held are those of them whose
	// answers are still held.
	ended       []*job
	heldAnswers []*job
	// heldAnswerBytes is the encoded size of the answers in held.
	heldAnswerBytes int64
	records         map[sched.Key]map[uint32]*record
	endpoints       map[string]*endpoint
	agentList       AgentList
	// acceptedAt is when the ownership was accepted; zero until then.
	acceptedAt time.Time
	// recordGaps holds, for each agent whose records are missing, the time before
	// which ids may have been started there.
	recordGaps map[string]time.Time
	pending    []pendingSubmission
	// servingSince is when the cell left the fencing phase.
	servingSince   time.Time
	counters       Counters
	recordsSweptAt time.Time
	auditedAt      time.Time
	// stampsInvalidated tells that the entry had no confirmation when last asked.
	stampsInvalidated bool
	// lastAuditError is the last failed check of the scheduler.
	lastAuditError string
}

type pendingSubmission struct {
	submission *pb.Submission
	reply      ReplyFunc
	receivedAt time.Time
	cancelled  bool
}

// New returns a cell that is not serving yet. members is the list that the
// previous owner left in the store.
func New(cfg Config, d *control.Document, members AgentList, rnd *rand.Rand, now time.Time) *Cell {
	c := &Cell{
		cfg:        cfg,
		sched:      sched.New(cfg.Sched, rnd),
		jobs:       map[sched.Key]*job{},
		active:     map[sched.Key]*job{},
		records:    map[sched.Key]map[uint32]*record{},
		endpoints:  map[string]*endpoint{},
		recordGaps: map[string]time.Time{},
	}
	c.initAgentList(members, now)
	c.applyControl(d, now)
	return c
}

// Generation returns the generation that the cell is owned under.
func (c *Cell) Generation() uint64 { return c.cfg.Generation }

// Number returns the cell's number.
func (c *Cell) Number() uint32 { return c.cfg.Number }

// ApplyControl takes over a newer control document; an older one is ignored.
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

// schedulerTeams gives each cell its share of the quotas.
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

// Close ends the cell: nothing starts any more, and everything that waits for
// an answer is told NotOwner so that the receiving entry asks the new owner.
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

// Idle tells whether no job is waiting or running.
func (c *Cell) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && len(c.pending) == 0
}

// Tick does what only time brings: deadlines, lost agents, the end of the
// fencing phase, and forgetting. Call it several times a second.
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

// auditInterval is how often the scheduler's invariants are checked in full.
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

// dispatch sends waiting tasks to free slots.
func (c *Cell) dispatch(now time.Time) {
	if c.phase != serving {
		return
	}
	if !c.cfg.IsFresh(now) {
		c.invalidateStamps(now)
		return
	}
	c.stampsInvalidated = false
	for {
		a, ok := c.sched.Next(now)
		if !ok {
			return
		}
		c.start(a, now)
	}
}

// invalidateStamps waits for new stamps before anything is sent again: those that
// the agents have are as old as the confirmation that has run out.
func (c *Cell) invalidateStamps(now time.Time) {
	if c.stampsInvalidated {
		return
	}
	c.stampsInvalidated = true
	for _, e := range c.endpoints {
		e.stamped = false
		c.updateEndpoint(e, now)
	}
}

func (c *Cell) start(a sched.Assignment, now time.Time) {
	j := c.jobs[a.Key]
	t := &j.tasks[a.Index]
	e := c.endpoints[a.Endpoint]
	if t.state != waiting {
		c.counters.InvariantFailures++
		return
	}
	t.state = running
	t.endpoint = e.name
	t.incarnation = e.incarnation
	j.waiting--
	j.running++
	e.outstanding[taskKey{a.Key, uint32(a.Index)}] = struct{}{}
	c.counters.StartsSent++
	e.link.Start(&pb.Start{
		Cell:       c.cfg.Number,
		Generation: c.cfg.Generation,
		Task:       &pb.TaskRef{Submission: j.key[:], Index: uint32(a.Index)},
		Team:       j.team,
		Payload:    t.payload,
		Idempotent: t.idempotent,
		TimeoutNs:  int64(j.deadline.Sub(now)),
		Digest:     j.digest,
	})
}

// idTime returns the wall clock time in a submission id of version 7.
func idTime(key sched.Key) time.Time {
	sec, nsec := uuid.UUID(key).Time().UnixTime()
	return time.Unix(sec, nsec)
}
