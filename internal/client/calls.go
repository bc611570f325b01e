package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Submit sends a job and waits for its whole answer. When a connection breaks,
// or an entry is shutting down or finds no owner, it sends the same id to the
// next entry, which attaches to the job. Its
// errors carry EntryUnreachable (the job was never sent) and OutcomeUnknown
// (submit the same id again).
func (c *Client) Submit(ctx context.Context, job api.Job) (api.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return api.Answer{}, result.Wrap(result.Malformed, err, "job")
	}
	got, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/jobs", body: body, retryable: true, tryNext: jobNotPassedOn})
	if err != nil {
		return api.Answer{}, err
	}
	var a api.Answer
	if err := got.decode(&a); err != nil {
		return api.Answer{}, err
	}
	return a, checkAnswer(got.status, a, len(job.Tasks))
}

// checkAnswer refuses an answer that no entry gave, such as that of a balancer
// in JSON, and one that is done without an answer for each task.
func checkAnswer(status int, a api.Answer, tasks int) error {
	if status != result.Describe(a.Code).HTTPStatus {
		return result.Errorf(result.OutcomeUnknown, "an answer with status %d is not an entry's", status)
	}
	if a.Code == result.OK && len(a.Tasks) != tasks {
		return result.Errorf(result.OutcomeUnknown, "the answer has %d of %d tasks", len(a.Tasks), tasks)
	}
	return nil
}

// jobNotPassedOn tells that this entry passed the job to nobody.
func jobNotPassedOn(r reply) bool {
	var a api.Answer
	if r.decode(&a) != nil {
		return false
	}
	return a.Code == result.ShuttingDown || a.Code == result.NoOwner
}

// Job tells the state of a job and, once it has ended, its answer. Its error
// carries the code that the entry refused with, such as NotFound.
func (c *Client) Job(ctx context.Context, id string) (api.JobStatus, error) {
	got, err := c.send(ctx, request{method: http.MethodGet, path: jobPath(id), retryable: true})
	if err != nil {
		return api.JobStatus{}, err
	}
	if got.status != http.StatusOK {
		return api.JobStatus{}, refusalError(got)
	}
	var status api.JobStatus
	return status, got.decode(&status)
}

// Cancel asks for a job to be cancelled. The job's own answer tells whether
// that came in time.
func (c *Client) Cancel(ctx context.Context, id string) error {
	got, err := c.send(ctx, request{method: http.MethodDelete, path: jobPath(id), retryable: true})
	if err != nil {
		return err
	}
	if got.status >= http.StatusBadRequest {
		return refusalError(got)
	}
	return nil
}

// Query sends one sentence of the query and command language. It goes to the
// next address only if nothing was sent before: a command may not be made
// twice. Its errors carry EntryUnreachable and CommandUnconfirmed.
func (c *Client) Query(ctx context.Context, st api.Statement) (api.Reply, error) {
	body, err := json.Marshal(st)
	if err != nil {
		return api.Reply{}, result.Wrap(result.Malformed, err, "statement")
	}
	got, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/query", body: body})
	if result.CodeOf(err) == result.OutcomeUnknown {
		return api.Reply{}, result.Errorf(result.CommandUnconfirmed, "%s; look at changes", result.DetailOf(err))
	}
	if err != nil {
		return api.Reply{}, err
	}
	var r api.Reply
	if err := got.decode(&r); err != nil {
		return api.Reply{}, result.Errorf(result.CommandUnconfirmed, "%s; look at changes", result.DetailOf(err))
	}
	return r, nil
}

// Dump returns the state dump of the first process that answers, as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	got, err := c.send(ctx, request{method: http.MethodGet, path: "/debug/state", retryable: true})
	if err != nil {
		return nil, err
	}
	if got.status != http.StatusOK || !json.Valid(got.body) {
		return nil, result.Errorf(result.NotFound, "no state dump there (status %d)", got.status)
	}
	return got.body, nil
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// refusalError reads the code and detail of an answer that is not a success.
func refusalError(r reply) error {
	var a api.Answer
	if err := r.decode(&a); err != nil {
		return err
	}
	return result.Errorf(a.Code, "%s", a.Detail)
}
