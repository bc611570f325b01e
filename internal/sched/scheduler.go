package sched

import (
	"math/rand/v2"
	"time"
)

// Scheduler holds the queue and the slots of one cell. It is not safe for
// concurrent use, and none of its methods block.
type Scheduler struct {
	cfg Config
	rnd *rand.Rand
	// startTime and now are the first and the latest time passed by a caller.
	startTime time.Time
	now       time.Time
	endpoints map[string]*endpoint
	// domains is in the order in which the domains were first seen.
	domains []*domain
	teams   map[string]*team
	jobs    map[Key]*job
	// activeTeams holds the teams with ready jobs; activeWeight is the sum of
	// their weights.
	activeTeams  []*team
	activeWeight int
	deadlines    indexedHeap[*job, byDeadline]
	// expired holds the jobs past their deadline that TakeExpired has yet to
	// return.
	expired []*job
	wakeups indexedHeap[*endpoint, byWakeup]
	// availableEndpoints is the number of endpoints that may be given a task.
	availableEndpoints int
	runTimes           runTimes

	waiting int
	running int
	// longRunning is the number of running tasks, and longDemand that of
	// waiting and running tasks, of teams with long tasks.
	longRunning int
	longDemand  int
	// shortDemand is the recent peak of the other teams' waiting and running
	// tasks.
	shortDemand decayingPeak
	// usableSlots is the number of slots on endpoints that are in service and
	// healthy, usableRunning the number of tasks running on those endpoints.
	usableSlots   int
	usableRunning int
	// inServiceSlots is the number of slots in service, and ejectedSlots the
	// number of those on ejected or probing endpoints.
	inServiceSlots int
	ejectedSlots   int
	// seq numbers the jobs in the order in which they were created; assignments
	// counts the tasks assigned by Next.
	seq         uint64
	assignments uint64
	// retryBudget is how many tasks may be queued again.
	retryBudget float64
	totals      Totals
	// violation is the first invariant violation; lastAudit is when Audit last
	// ran the full check.
	violation error
	lastAudit time.Time
}

// New returns an empty Scheduler. The configuration must be valid.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	return &Scheduler{
		cfg:         cfg,
		rnd:         rnd,
		endpoints:   map[string]*endpoint{},
		teams:       map[string]*team{},
		jobs:        map[Key]*job{},
		retryBudget: cfg.Retry.MaxBudget,
	}
}

// SetTeams replaces the teams. Jobs of a team that is no longer listed still
// run, under the team's last rules.
func (s *Scheduler) SetTeams(_ time.Time, teams []Team) {
	for _, t := range s.teams {
		t.configured = false
	}
	for _, in := range teams {
		t := s.ensureTeam(in.Name)
		if len(t.readyJobs) > 0 {
			s.activeWeight += max(in.Weight, 1) - t.weight()
		}
		t.Team = in
		t.configured = true
		t.updateRunningPerWeight()
	}
	for _, t := range s.teams {
		s.dropIdleTeam(t)
	}
}

// ensureTeam returns the team of that name, and creates it if needed.
func (s *Scheduler) ensureTeam(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{Team: Team{Name: name, Weight: 1}, hasLongTasks: true}
		s.teams[name] = t
	}
	return t
}

// dropIdleTeam deletes a team that is neither configured nor has jobs.
func (s *Scheduler) dropIdleTeam(t *team) {
	if !t.configured && t.jobs == 0 {
		delete(s.teams, t.Name)
	}
}
