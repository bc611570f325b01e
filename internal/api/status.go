package api

// JobStatus answers GET /v1/jobs/{id}.
type JobStatus struct {
	Team  string `json:"team"`
	State string `json:"state"`
	// Answer is set once the job has ended and while its answer is held.
	Answer *Answer `json:"answer,omitempty"`
}
