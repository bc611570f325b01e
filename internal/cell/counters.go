package cell

// Counters counts the events of a cell since the cell was created.
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

// Add adds the counts of another cell to c.
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
