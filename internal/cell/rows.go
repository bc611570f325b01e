package cell

import (
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/api"
)

// Jobs returns a row for each job that has not ended and for each ended job
// whose answer is kept.
func (c *Cell) Jobs(now time.Time) []api.JobRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]api.JobRow, 0, len(c.active)+len(c.heldAnswers))
	for _, j := range c.active {
		rows = append(rows, c.jobRow(j, now))
	}
	for _, j := range c.heldAnswers {
		rows = append(rows, c.jobRow(j, now))
	}
	return rows
}

func (c *Cell) jobRow(j *job, now time.Time) api.JobRow {
	row := api.JobRow{
		ID:          uuid.UUID(j.key).String(),
		Team:        j.team,
		State:       j.state(),
		Tasks:       j.taskCount,
		Waiting:     j.waiting,
		Running:     j.running,
		Done:        j.succeeded,
		Code:        int(j.code),
		AgeMS:       now.Sub(j.admittedAt).Milliseconds(),
		RemainingMS: max(0, j.deadline.Sub(now).Milliseconds()),
		Cell:        int(c.cfg.Number),
		Owner:       c.cfg.Owner,
	}
	if j.isEnded {
		row.RunMS = float64(j.endedAt.Sub(j.admittedAt).Microseconds()) / 1000
	}
	return row
}

// Endpoints returns a row for each endpoint that has attached to this owner.
func (c *Cell) Endpoints(now time.Time) []api.EndpointRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]api.EndpointRow, 0, len(c.endpoints))
	for _, st := range c.sched.Endpoints(now) {
		e := c.endpoints[st.Name]
		if e == nil {
			continue
		}
		rows = append(rows, api.EndpointRow{
			Name:          e.name,
			FailureDomain: e.domain,
			State:         st.State,
			Slots:         e.slots,
			Running:       st.Running,
			Done:          st.Done,
			Failed:        st.Failed,
			Cell:          int(c.cfg.Number),
			Revision:      e.revision,
			RunMS:         float64(st.MeanRunTime.Microseconds()) / 1000,
		})
	}
	return rows
}

// TeamLoad is the number of a team's running and waiting tasks in one cell.
type TeamLoad struct {
	Team    string `json:"team"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// TeamLoads returns the load of each team that has active jobs in this cell.
func (c *Cell) TeamLoads() []TeamLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	byTeam := map[string]*TeamLoad{}
	for _, j := range c.active {
		t := byTeam[j.team]
		if t == nil {
			t = &TeamLoad{Team: j.team}
			byTeam[j.team] = t
		}
		t.Running += j.running
		t.Waiting += j.waiting
	}
	loads := make([]TeamLoad, 0, len(byTeam))
	for _, t := range byTeam {
		loads = append(loads, *t)
	}
	return loads
}

// State is a cell's part of the state dump.
type State struct {
	Number             uint32    `json:"number"`
	Generation         uint64    `json:"generation"`
	Phase              string    `json:"phase"`
	AcceptedAt         time.Time `json:"accepted_at"`
	ServingSince       time.Time `json:"serving_since"`
	ActiveJobs         int       `json:"active_jobs"`
	KnownIDs           int       `json:"known_ids"`
	AnswersHeld        int       `json:"answers_held"`
	AnswerBytes        int64     `json:"answer_bytes"`
	PendingSubmissions int       `json:"pending_submissions"`
	Records            int       `json:"records"`
	AgentList          AgentList `json:"members"`
	GapUntil           time.Time `json:"gap_until,omitzero"`
	Counters           Counters  `json:"counters"`
}

// State returns a snapshot of the cell for the state dump.
func (c *Cell) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{
		Number:             c.cfg.Number,
		Generation:         c.cfg.Generation,
		Phase:              c.phase.String(),
		AcceptedAt:         c.acceptedAt,
		ServingSince:       c.servingSince,
		ActiveJobs:         len(c.active),
		KnownIDs:           len(c.jobs),
		AnswersHeld:        len(c.heldAnswers),
		AnswerBytes:        c.heldAnswerBytes,
		PendingSubmissions: len(c.pending),
		Records:            len(c.records),
		AgentList:          c.agentList.clone(),
		GapUntil:           c.latestRecordGapEnd(),
		Counters:           c.counters,
	}
}

// UnappliedAgents names the agents that may still start tasks under a control
// revision older than the given one. These are the attached agents that have
// not applied it, and those that lost their stream less than the freshness
// limit ago, because their last stamp may still be valid.
func (c *Cell) UnappliedAgents(revision uint64, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, e := range c.endpoints {
		if e.revision < revision && e.mayStart(now, c.cfg.Freshness) {
			names = append(names, "agent "+e.name)
		}
	}
	return names
}
