package entry

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/admin"
	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/store"
)

// State is the content of the entry's state dump.
type State struct {
	ID                string            `json:"id"`
	FailureDomain     string            `json:"failure_domain"`
	Uptime            string            `json:"uptime"`
	Leaving           bool              `json:"leaving"`
	ConfirmationAgeMS int64             `json:"basis_age_ms"`
	Fresh             bool              `json:"fresh"`
	Document          *control.Document `json:"document"`
	Acks              map[string]uint64 `json:"acks"`
	Cells             []cell.State      `json:"cells"`
	InProgress        int               `json:"submissions_in_progress"`
	Agents            []string          `json:"agents_attached"`
	Counters          map[string]int64  `json:"counters"`
	StoreCalls        store.Counts      `json:"store_calls"`
	// Commands are the most recent operators' commands to this entry, from its
	// audit log.
	Commands []admin.AuditRecord `json:"commands"`
}

// State returns the entry's current state.
func (e *Entry) State() State {
	now := time.Now()
	age := now.Sub(e.control.ConfirmedAt(now))
	s := State{
		ID:                e.id,
		FailureDomain:     e.settings.FailureDomain,
		Uptime:            now.Sub(e.startedAt).Round(time.Millisecond).String(),
		Leaving:           e.control.Leaving(),
		ConfirmationAgeMS: age.Milliseconds(),
		Fresh:             age < e.settings.Freshness.Std(),
		Document:          e.control.Document(),
		Acks:              e.control.Acks(),
		InProgress:        e.relay.InProgress(),
		Agents:            e.agents.Endpoints(),
		StoreCalls:        e.store.Counts(),
		Commands:          e.admin.AuditRecords(),
	}
	for _, c := range e.ownership.Cells() {
		s.Cells = append(s.Cells, c.State())
	}
	s.Counters = e.counterValues()
	return s
}

func (e *Entry) counterValues() map[string]int64 {
	c := e.ownership.Counters()
	return map[string]int64{
		"jobs_received":       e.counters.jobsReceived.Load(),
		"answers_sent":        e.counters.answersSent.Load(),
		"relays_sent":         e.counters.relaysSent.Load(),
		"relays_received":     e.counters.relaysReceived.Load(),
		"late_answers":        e.counters.lateAnswers.Load(),
		"heartbeats_received": e.counters.heartbeatsReceived.Load(),
		"stamps_sent":         e.counters.stampsSent.Load(),
		"starts_sent":         c.StartsSent,
		"outcomes_received":   c.OutcomesReceived,
		"refusals_received":   c.RefusalsReceived,
		"duplicate_outcomes":  c.DuplicateOutcomes,
		"cancels_sent":        c.CancelsSent,
		"invariant_failures":  c.InvariantFailures,
	}
}
