package sched

import (
	"math/rand/v2"
	"time"
)

// Scheduler is the queue and the slots of one cell. It is not safe for
// concurrent use; nothing in it blocks.
type Scheduler struct {
	cfg Config
	rnd *rand.Rand
	// startTime and now are the first and the latest time that a caller passed.
	startTime time.Time
	now       time.Time
	endpoints map[string]*endpoint
	// domains are in the order in which they were first seen.
	domains []*domain
	teams   map[string]*team
	jobs    map[Key]*job
	// activeTeams holds the teams with jobs that are ready, activeWeight is the sum
	// of their weights.
	activeTeams  []*team
	activeWeight int
	deadlines    deadlineHeap
	// expired holds the jobs past their deadline that Expired has yet to
	// hand out.
	expired []*job
	wakeups wakeupHeap
	// availableEndpoints is how many endpoints have room.
	availableEndpoints int
	runTimes           runTimes

	waiting int
	running int
	// longRunning is how many of the running tasks, and longDemand how many of the
	// waiting and running ones, are of teams with long tasks.
	longRunning int
	longDemand  int
	// shortDemand is the recent peak of the others' waiting and running tasks.
	shortDemand decayingPeak
	// usableSlots is the sum over the domains, usableBusy the running tasks on
	// those endpoints.
	usableSlots   int
	usableRunning int
	// inServiceSlots and out are the slots in service, and those of them on
	// endpoints that are ejected or probed.
	inServiceSlots int
	ejectedSlots   int
	seq            uint64
	assignments    uint64
	// retryBudget is how many tasks may be queued again.
	retryBudget float64
	totals      Totals
	// violation is the first broken invariant, audited when Audit last looked.
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

// SetTeams replaces the teams. Jobs of a team that is no longer among them
// are still served, under its last rules.
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

// ensureTeam returns the team of that name, made if need be.
func (s *Scheduler) ensureTeam(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{Team: Team{Name: name, Weight: 1}, hasLongTasks: true}
		s.teams[name] = t
	}
	return t
}

// dropIdleTeam forgets a team without quota and jobs.
func (s *Scheduler) dropIdleTeam(t *team) {
	if !t.configured && t.jobs == 0 {
		delete(s.teams, t.Name)
	}
}
