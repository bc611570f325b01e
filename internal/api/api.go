// Package api holds the JSON that callers and operators exchange with an
// entry, and the rows of the query language.
//
// Callers: POST /v1/jobs with a Job gives an Answer; GET /v1/jobs/{id} gives
// an Answer or code NotFound; DELETE /v1/jobs/{id} cancels. Operators, on the
// entry's admin address: POST /v1/query with a Statement gives a Reply.
package api

import (
	"encoding/json"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 120

// Job is one submission.
type Job struct {
	// ID is a UUID of version 7 chosen by the caller. The same id sent again
	// attaches to the job, it never starts anything twice.
	ID   string `json:"id"`
	Team string `json:"team"`
	// TimeoutMS is the time until the deadline in milliseconds.
	TimeoutMS int64  `json:"timeout_ms"`
	Tasks     []Task `json:"tasks"`
}

// Task is one task of a job.
type Task struct {
	// Payload is any JSON value; the endpoint gets it as the body.
	Payload json.RawMessage `json:"payload"`
	// Idempotent marks a task that the caller may safely submit anew under
	// another id. It is passed to the endpoint. Within one submission no task
	// starts twice either way.
	Idempotent bool `json:"idempotent"`
	// DeclaredRunMS is the caller's guess of the run time in milliseconds.
	DeclaredRunMS int64 `json:"declared_run_ms,omitempty"`
}

// Answer is the whole answer to one submission.
type Answer struct {
	ID     string        `json:"id"`
	Code   result.Code   `json:"code"`
	Name   string        `json:"name"`
	Effect result.Effect `json:"effect"`
	Text   string        `json:"text"`
	Detail string        `json:"detail,omitempty"`
	// Tasks has one line per task in the job's order when Code is OK, and
	// what is known of each task otherwise.
	Tasks []TaskAnswer `json:"tasks,omitempty"`
}

// TaskAnswer is what became of one task.
type TaskAnswer struct {
	Index  int             `json:"index"`
	Code   result.Code     `json:"code"`
	Effect result.Effect   `json:"effect"`
	Body   json.RawMessage `json:"body,omitempty"`
	RunMS  float64         `json:"run_ms"`
	Detail string          `json:"detail,omitempty"`
}

// Statement is one sentence of the query and command language.
type Statement struct {
	Text string `json:"text"`
	// DryRun checks a command and shows its effect without issuing it.
	DryRun bool `json:"dry_run,omitempty"`
	// WaitMS is how long to wait for a command to be in force everywhere.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// Reply answers a Statement.
type Reply struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Text    string      `json:"text"`
	Detail  string      `json:"detail,omitempty"`
	Columns []string    `json:"columns,omitempty"`
	// Rows are in the order of Columns.
	Rows [][]any `json:"rows,omitempty"`
	// Revision is the control revision that a command made, or the winner's
	// on a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// InForce tells that every entry on the roster confirmed the command.
	InForce bool `json:"in_force,omitempty"`
	// Unconfirmed names the processes that have not confirmed yet.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// JobRow is a job as an owner sees it.
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

// EndpointRow is an endpoint as an owner sees it.
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

// FailureDomainRow is a failure domain.
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
	// ConfirmationAgeMS is the age of the entry's last confirmation in milliseconds.
	ConfirmationAgeMS int64 `json:"fresh_ms"`
}

// TeamRow is a team with its quota.
type TeamRow struct {
	Name       string   `json:"name"`
	Weight     int      `json:"weight"`
	MaxRunning int      `json:"max_running"`
	MaxQueued  int      `json:"max_queued"`
	Domains    []string `json:"domains"`
	Running    int      `json:"running"`
	Waiting    int      `json:"waiting"`
}

// ChangeRow is one audited change of the configuration.
type ChangeRow struct {
	Revision uint64    `json:"revision"`
	Who      string    `json:"who"`
	What     string    `json:"what"`
	At       time.Time `json:"at"`
}
