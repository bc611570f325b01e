package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Totals counts what a Scheduler did since it was made. All are numbers of
// tasks but for Admitted, Refused (jobs) and Ejections.
type Totals struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
	// Started counts the starts that Next handed out.
	Started int64 `json:"started"`
	Done    int64 `json:"done"`
	Failed  int64 `json:"failed"`
	// Cut counts tasks ended by a deadline or a cancellation.
	Cut        int64 `json:"cut"`
	NotStarted int64 `json:"not_started"`
	Retried    int64 `json:"retried"`
	Dropped    int64 `json:"dropped"`
	Ejections  int64 `json:"ejections"`
}

func (t *Totals) count(c result.Code) {
	if c == result.OK {
		t.Admitted++
		return
	}
	t.Refused++
}

// Stats is a view of the whole cell.
type Stats struct {
	Jobs    int `json:"jobs"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// InServiceSlots and UsableSlots are without and with regard to
	// ejections.
	InServiceSlots int     `json:"in_service_slots"`
	UsableSlots    int     `json:"usable_slots"`
	RetryBudget    float64 `json:"retry_budget"`
	Totals         Totals  `json:"totals"`
}

// Stats returns the totals of the cell.
func (s *Scheduler) Stats() Stats {
	return Stats{
		Jobs:           len(s.jobs),
		Waiting:        s.waiting,
		Running:        s.running,
		InServiceSlots: s.inService,
		UsableSlots:    s.usable,
		RetryBudget:    s.budget,
		Totals:         s.counts,
	}
}

// The states of an endpoint in EndpointStats.
const (
	StateInService = "in_service"
	StateRamping   = "ramping"
	StateEjected   = "ejected"
	StateProbing   = "probing"
	StateOut       = "out"
	StateLeaving   = "leaving"
	StateDetached  = "detached"
)

// EndpointStats is a view of one endpoint.
type EndpointStats struct {
	Name          string `json:"name"`
	FailureDomain string `json:"domain"`
	State         string `json:"state"`
	Slots         int    `json:"slots"`
	// Allowed is how many tasks may run now.
	Allowed int   `json:"allowed"`
	Running int   `json:"running"`
	Done    int64 `json:"done"`
	Failed  int64 `json:"failed"`
	// MeanRun is the learned run time of its tasks.
	MeanRun time.Duration `json:"mean_run_ns"`
	// Slowness is its learned run time over the usual one.
	Slowness float64 `json:"slowness"`
	// FailureExcess is its failure rate beyond its teams' own.
	FailureExcess float64 `json:"failure_excess"`
}

// Endpoints returns a view of every endpoint, sorted by name.
func (s *Scheduler) Endpoints(now time.Time) []EndpointStats {
	rows := make([]EndpointStats, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		rows = append(rows, s.endpointStats(now, e))
	}
	slices.SortFunc(rows, func(a, b EndpointStats) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// EndpointStats returns a view of one endpoint, as of the latest call; it is
// empty for an endpoint that is not known.
func (s *Scheduler) EndpointStats(name string) EndpointStats {
	e := s.endpoints[name]
	if e == nil {
		return EndpointStats{}
	}
	return s.endpointStats(s.now, e)
}

func (s *Scheduler) endpointStats(now time.Time, e *endpoint) EndpointStats {
	allowed, _ := e.allowed(now, &s.cfg)
	return EndpointStats{
		Name:          e.Name,
		FailureDomain: e.FailureDomain,
		State:         s.stateName(now, e),
		Slots:         e.Slots,
		Allowed:       allowed,
		Running:       e.running,
		Done:          e.done,
		Failed:        e.failed,
		MeanRun:       time.Duration(e.runs.mean * float64(time.Second)),
		Slowness:      e.slowness(),
		FailureExcess: float64(e.excess),
	}
}

func (s *Scheduler) stateName(now time.Time, e *endpoint) string {
	switch e.State {
	case Out:
		return StateOut
	case Leaving:
		return StateLeaving
	case Detached:
		return StateDetached
	}
	switch {
	case e.health == ejected:
		return StateEjected
	case e.health == probing:
		return StateProbing
	case e.ramping(now, s.cfg.Ramp.Length):
		return StateRamping
	}
	return StateInService
}

// TeamStats is a view of one team.
type TeamStats struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Jobs    int    `json:"jobs"`
	// MeanRun is the learned run time of its tasks.
	MeanRun time.Duration `json:"mean_run_ns"`
	// FailureRate is the moving share of its tasks that failed.
	FailureRate float64 `json:"failure_rate"`
	// Work is the expected run time of its waiting tasks.
	Work time.Duration `json:"work_ns"`
}

// Teams returns a view of every team, sorted by name.
func (s *Scheduler) Teams() []TeamStats {
	rows := make([]TeamStats, 0, len(s.teams))
	for _, t := range s.teams {
		rows = append(rows, TeamStats{
			Name:        t.Name,
			Running:     t.running,
			Waiting:     t.waiting,
			Jobs:        t.jobs,
			MeanRun:     time.Duration(t.runs.all.mean * float64(time.Second)),
			FailureRate: float64(t.failures),
			Work:        t.work,
		})
	}
	slices.SortFunc(rows, func(a, b TeamStats) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// JobStats is a view of one job.
type JobStats struct {
	Waiting int
	Running int
}

// Job returns a view of one job, and false when it has neither waiting nor
// running tasks.
func (s *Scheduler) Job(key Key) (JobStats, bool) {
	j := s.jobs[key]
	if j == nil {
		return JobStats{}, false
	}
	return JobStats{Waiting: len(j.waiting), Running: len(j.running)}, true
}
