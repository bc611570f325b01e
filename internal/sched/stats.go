package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Totals counts the events since the Scheduler was created. All fields count
// tasks, except Admitted and Refused (jobs) and Ejections.
type Totals struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
	// Started counts the tasks that Next assigned.
	Started int64 `json:"started"`
	Done    int64 `json:"done"`
	Failed  int64 `json:"failed"`
	// Interrupted counts the tasks ended by a deadline or a cancellation.
	Interrupted int64 `json:"cut"`
	NotStarted  int64 `json:"not_started"`
	Retried     int64 `json:"retried"`
	Dropped     int64 `json:"dropped"`
	Ejections   int64 `json:"ejections"`
}

func (t *Totals) countAdmission(c result.Code) {
	if c == result.OK {
		t.Admitted++
		return
	}
	t.Refused++
}

// Stats holds the totals of the whole cell.
type Stats struct {
	Jobs    int `json:"jobs"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// InServiceSlots counts the slots in service; UsableSlots leaves out those
	// on ejected and probing endpoints.
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
		InServiceSlots: s.inServiceSlots,
		UsableSlots:    s.usableSlots,
		RetryBudget:    s.retryBudget,
		Totals:         s.totals,
	}
}

// The values of EndpointStats.State.
const (
	StateInService    = "in_service"
	StateRamping      = "ramping"
	StateEjected      = "ejected"
	StateProbing      = "probing"
	StateOutOfService = "out"
	StateLeaving      = "leaving"
	StateDetached     = "detached"
)

// EndpointStats is a snapshot of one endpoint.
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
	// MeanRunTime is the learned run time of its tasks.
	MeanRunTime time.Duration `json:"mean_run_ns"`
	// Slowness is its learned run time over the normal one.
	Slowness float64 `json:"slowness"`
	// ExcessFailureRate is how far its failure rate exceeds its teams' own.
	ExcessFailureRate float64 `json:"failure_excess"`
}

// Endpoints returns a snapshot of every endpoint, sorted by name.
func (s *Scheduler) Endpoints(now time.Time) []EndpointStats {
	rows := make([]EndpointStats, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		rows = append(rows, s.endpointStats(now, e))
	}
	slices.SortFunc(rows, func(a, b EndpointStats) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// EndpointStats returns a snapshot of one endpoint as of the latest call, or
// the zero value if the endpoint is not known.
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
		Name:              e.Name,
		FailureDomain:     e.FailureDomain,
		State:             s.stateName(now, e),
		Slots:             e.Slots,
		Allowed:           allowed,
		Running:           e.running,
		Done:              e.done,
		Failed:            e.failed,
		MeanRunTime:       time.Duration(e.runTimes.mean * float64(time.Second)),
		Slowness:          e.slowness(),
		ExcessFailureRate: float64(e.excessFailureRate),
	}
}

func (s *Scheduler) stateName(now time.Time, e *endpoint) string {
	switch e.State {
	case OutOfService:
		return StateOutOfService
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
	case e.ramping(now, s.cfg.Ramp.Duration):
		return StateRamping
	}
	return StateInService
}

// TeamStats is a snapshot of one team.
type TeamStats struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Jobs    int    `json:"jobs"`
	// MeanRunTime is the learned run time of its tasks.
	MeanRunTime time.Duration `json:"mean_run_ns"`
	// FailureRate is the moving fraction of its tasks that failed.
	FailureRate float64 `json:"failure_rate"`
	// QueuedWork is the expected total run time of its waiting tasks.
	QueuedWork time.Duration `json:"work_ns"`
}

// Teams returns a snapshot of every team, sorted by name.
func (s *Scheduler) Teams() []TeamStats {
	rows := make([]TeamStats, 0, len(s.teams))
	for _, t := range s.teams {
		rows = append(rows, TeamStats{
			Name:        t.Name,
			Running:     t.running,
			Waiting:     t.waiting,
			Jobs:        t.jobs,
			MeanRunTime: time.Duration(t.runTimes.all.mean * float64(time.Second)),
			FailureRate: float64(t.failureRate),
			QueuedWork:  t.queuedWork,
		})
	}
	slices.SortFunc(rows, func(a, b TeamStats) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// JobStats counts the tasks of one job.
type JobStats struct {
	Waiting int
	Running int
}

// Job returns the task counts of one job, and false if it has neither waiting
// nor running tasks.
func (s *Scheduler) Job(key Key) (JobStats, bool) {
	j := s.jobs[key]
	if j == nil {
		return JobStats{}, false
	}
	return JobStats{Waiting: len(j.waiting), Running: len(j.running)}, true
}
