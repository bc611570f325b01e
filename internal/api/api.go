// Package api defines the JSON that callers and operators exchange with an
// entry, and the rows of the query language.
//
// For callers, POST /v1/jobs takes a Job and returns an Answer, GET
// /v1/jobs/{id} returns a JobStatus, or an Answer with a code such as NotFound,
// and DELETE /v1/jobs/{id} cancels the job. For operators, on the entry's admin
// address, POST /v1/query takes a Statement and returns a Reply.
package api

import (
	"encoding/json"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// MaxTasks is the maximum number of tasks in one job.
const MaxTasks = 120

// Job is one submission.
type Job struct {
	// ID is a version 7 UUID that the caller chooses. A job submitted again
	// with the same id is not started again: the request waits for its answer.
	ID   string `json:"id"`
	Team string `json:"team"`
	// TimeoutMS is the time from submission to the deadline, in milliseconds.
	TimeoutMS int64  `json:"timeout_ms"`
	Tasks     []Task `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	// Payload is any JSON value. The endpoint gets it as the request's body.
	Payload json.RawMessage `json:"payload"`
	// Idempotent marks a task that the caller may safely submit again under
	// another id. It is passed to the endpoint. Under one id no task starts
	// twice, whether idempotent or not.
	Idempotent bool `json:"idempotent"`
	// DeclaredRunMS is the caller's estimate of the run time in milliseconds.
	DeclaredRunMS int64 `json:"declared_run_ms,omitempty"`
}

// Answer is the answer to one submission, with the results of all its tasks.
type Answer struct {
	ID     string        `json:"id"`
	Code   result.Code   `json:"code"`
	Name   string        `json:"name"`
	Effect result.Effect `json:"effect"`
	Text   string        `json:"text"`
	Detail string        `json:"detail,omitempty"`
	// Tasks has one element per task, in the job's order, if Code is OK.
	// Otherwise it has what is known of the tasks.
	Tasks []TaskAnswer `json:"tasks,omitempty"`
}

// TaskAnswer is the result of one task.
type TaskAnswer struct {
	Index  int             `json:"index"`
	Code   result.Code     `json:"code"`
	Effect result.Effect   `json:"effect"`
	Body   json.RawMessage `json:"body,omitempty"`
	RunMS  float64         `json:"run_ms"`
	Detail string          `json:"detail,omitempty"`
}

// Statement is a statement of the query and command language.
type Statement struct {
	Text string `json:"text"`
	// DryRun checks a command and shows what it would affect, without executing
	// it.
	DryRun bool `json:"dry_run,omitempty"`
	// WaitMS is how long to wait for a command to be in force everywhere, in
	// milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Reply is the response to a Statement.
type Reply struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Text    string      `json:"text"`
	Detail  string      `json:"detail,omitempty"`
	Columns []string    `json:"columns,omitempty"`
	// Rows have their values in the order of Columns.
	Rows [][]any `json:"rows,omitempty"`
	// Revision is the revision of the control document that a command wrote, or
	// after a conflict the current one.
	Revision uint64 `json:"revision,omitempty"`
	// InForce reports whether every entry on the roster and every attached agent
	// has confirmed the command.
	InForce bool `json:"in_force,omitempty"`
	// Unconfirmed lists the processes that have not confirmed the command.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// JobRow is a job as reported by the owner of its cell.
type JobRow struct {
	ID          string  `json:"id"`
	Team        string  `json:"team"`
	State       string  `json:"state"`
	Tasks       int     `json:"tasks"`
	Waiting     int     `json:"waiting"`
	Running     int     `json:"running"`
	Done        int     `json:"done"`
	Code        int     `json:"code"`
	AgeMS       int64   `json:"age_ms"`
	RemainingMS int64   `json:"left_ms"`
	Cell        int     `json:"cell"`
	Owner       string  `json:"owner"`
	RunMS       float64 `json:"run_ms"`
}

// EndpointRow is an endpoint as reported by the owner of its cell.
type EndpointRow struct {
	Name          string  `json:"name"`
	FailureDomain string  `json:"domain"`
	State         string  `json:"state"`
	Slots         int     `json:"slots"`
	Running       int     `json:"running"`
	Done          int64   `json:"done"`
	Failed        int64   `json:"failed"`
	Cell          int     `json:"cell"`
	Revision      uint64  `json:"revision"`
	RunMS         float64 `json:"run_ms"`
}

// FailureDomainRow is a failure domain with the sums over its endpoints.
type FailureDomainRow struct {
	Name      string `json:"name"`
	State     string `json:"state"`
	Endpoints int    `json:"endpoints"`
	Slots     int    `json:"slots"`
	Running   int    `json:"running"`
}

// EntryRow is an entry on the roster.
type EntryRow struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"domain"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
	Cells         int    `json:"cells"`
	// ConfirmationAgeMS is the age of the entry's last confirmation of
	// the control document, in milliseconds.
	ConfirmationAgeMS int64 `json:"fresh_ms"`
}

// TeamRow is a team with its quotas and current load.
type TeamRow struct {
	Name       string   `json:"name"`
	Weight     int      `json:"weight"`
	MaxRunning int      `json:"max_running"`
	MaxQueued  int      `json:"max_queued"`
	Domains    []string `json:"domains"`
	Running    int      `json:"running"`
	Waiting    int      `json:"waiting"`
}

// ChangeRow is a configuration change from the control document's history.
type ChangeRow struct {
	Revision uint64    `json:"revision"`
	Who      string    `json:"who"`
	What     string    `json:"what"`
	At       time.Time `json:"at"`
}
