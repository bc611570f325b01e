package api

// JobStatus is the response to GET /v1/jobs/{id}.
type JobStatus struct {
	Team  string `json:"team"`
	State string `json:"state"`
	// Answer is set after the job's end, as long as its answer is retained.
	Answer *Answer `json:"answer,omitempty"`
}
