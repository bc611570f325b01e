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
	// first and now are the first and the latest time that a caller passed.
	first     time.Time
	now       time.Time
	endpoints map[string]*endpoint
	// domains are in the order in which they were first seen.
	domains []*domain
	teams   map[string]*team
	jobs    map[Key]*job
	// active holds the teams with jobs that are ready, activeWeight is the sum
	// of their weights.
	active       []*team
	activeWeight int
	deadlines    deadlineHeap
	// expired holds the jobs past their deadline that Expired has yet to
	// hand out.
	expired []*job
	wakes   wakeHeap
	// roomy is how many endpoints have room.
	roomy int
	runs  runTimes

	waiting int
	running int
	// long is how many of the running tasks, and longDemand how many of the
	// waiting and running ones, are of teams with long tasks.
	long       int
	longDemand int
	// short is the recent peak of the others' waiting and running tasks.
	short peak
	// usable is the sum over the domains, usableBusy the running tasks on
	// those endpoints.
	usable     int
	usableBusy int
	// inService and out are the slots in service, and those of them on
	// endpoints that are ejected or probed.
	inService int
	out       int
	seq       uint64
	served    uint64
	// budget is how many tasks may be queued again.
	budget float64
	counts Totals
	// fault is the first broken invariant, audited when Audit last looked.
	fault   error
	audited time.Time
}

// New returns an empty Scheduler. The configuration must be valid.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	return &Scheduler{
		cfg:       cfg,
		rnd:       rnd,
		endpoints: map[string]*endpoint{},
		teams:     map[string]*team{},
		jobs:      map[Key]*job{},
		budget:    cfg.Retry.Burst,
	}
}

// SetTeams replaces the teams. Jobs of a team that is no longer among them
// are still served, under its last rules.
func (s *Scheduler) SetTeams(_ time.Time, teams []Team) {
	for _, t := range s.teams {
		t.known = false
	}
	for _, in := range teams {
		t := s.team(in.Name)
		if len(t.ready) > 0 {
			s.activeWeight += max(in.Weight, 1) - t.weight()
		}
		t.Team = in
		t.known = true
		t.setLevel()
	}
	for _, t := range s.teams {
		s.dropIdleTeam(t)
	}
}

// team returns the team of that name, made if need be.
func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{Team: Team{Name: name, Weight: 1}, long: true}
		s.teams[name] = t
	}
	return t
}

// dropIdleTeam forgets a team without quota and jobs.
func (s *Scheduler) dropIdleTeam(t *team) {
	if !t.known && t.jobs == 0 {
		delete(s.teams, t.Name)
	}
}
