package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Submit sends a job and waits for its answer. If a connection breaks, or an
// entry is shutting down or finds no owner, it sends the job with the same id to
// the next entry, which waits for the same job. Its errors have the code
// EntryUnreachable (the job was never sent) or OutcomeUnknown (submit the job
// again with the same id).
func (c *Client) Submit(ctx context.Context, job api.Job) (api.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return api.Answer{}, result.Wrap(result.Malformed, err, "cannot encode the job")
	}
	rep, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/jobs", body: body, retryable: true, tryNext: jobNotPassedOn})
	if err != nil {
		return api.Answer{}, err
	}
	var a api.Answer
	if err := rep.decode(&a); err != nil {
		return api.Answer{}, err
	}
	return a, checkAnswer(rep.status, a, len(job.Tasks))
}

// checkAnswer returns an error if the answer does not come from an entry, but for
// example from a load balancer, or if its code is OK but tasks are missing.
func checkAnswer(status int, a api.Answer, tasks int) error {
	if status != result.Describe(a.Code).HTTPStatus {
		return result.Errorf(result.OutcomeUnknown, "the response with status %d does not come from an entry", status)
	}
	if a.Code == result.OK && len(a.Tasks) != tasks {
		return result.Errorf(result.OutcomeUnknown, "the answer has %d of %d tasks", len(a.Tasks), tasks)
	}
	return nil
}

// jobNotPassedOn reports whether the entry refused the job without sending it to
// an owner, so that another entry may accept it.
func jobNotPassedOn(r reply) bool {
	var a api.Answer
	if r.decode(&a) != nil {
		return false
	}
	return a.Code == result.ShuttingDown || a.Code == result.NoOwner
}

// Job returns the state of a job and, after its end, its answer. If the entry
// refuses, the error has the entry's code, such as NotFound.
func (c *Client) Job(ctx context.Context, id string) (api.JobStatus, error) {
	rep, err := c.send(ctx, request{method: http.MethodGet, path: jobPath(id), retryable: true})
	if err != nil {
		return api.JobStatus{}, err
	}
	if rep.status != http.StatusOK {
		return api.JobStatus{}, refusalError(rep)
	}
	var status api.JobStatus
	return status, rep.decode(&status)
}

// Cancel requests the cancellation of a job. Whether it came in time follows from
// the job's answer.
func (c *Client) Cancel(ctx context.Context, id string) error {
	rep, err := c.send(ctx, request{method: http.MethodDelete, path: jobPath(id), retryable: true})
	if err != nil {
		return err
	}
	if rep.status >= http.StatusBadRequest {
		return refusalError(rep)
	}
	return nil
}

// Query sends a statement of the query and command language. It tries the next
// address only if nothing has been sent yet, because a command must not be
// executed twice. Its errors have the code EntryUnreachable or
// CommandUnconfirmed.
func (c *Client) Query(ctx context.Context, stmt api.Statement) (api.Reply, error) {
	body, err := json.Marshal(stmt)
	if err != nil {
		return api.Reply{}, result.Wrap(result.Malformed, err, "cannot encode the statement")
	}
	rep, err := c.send(ctx, request{method: http.MethodPost, path: "/v1/query", body: body})
	if result.CodeOf(err) == result.OutcomeUnknown {
		return api.Reply{}, result.Errorf(result.CommandUnconfirmed, "%s; the rows of \"changes\" show whether the command was executed", result.DetailOf(err))
	}
	if err != nil {
		return api.Reply{}, err
	}
	var r api.Reply
	if err := rep.decode(&r); err != nil {
		return api.Reply{}, result.Errorf(result.CommandUnconfirmed, "%s; the rows of \"changes\" show whether the command was executed", result.DetailOf(err))
	}
	return r, nil
}

// Dump returns the state dump, as JSON, of the first process that answers.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	rep, err := c.send(ctx, request{method: http.MethodGet, path: "/debug/state", retryable: true})
	if err != nil {
		return nil, err
	}
	if rep.status != http.StatusOK || !json.Valid(rep.body) {
		return nil, result.Errorf(result.NotFound, "the process has no state dump (status %d)", rep.status)
	}
	return rep.body, nil
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// refusalError returns the code and detail in an unsuccessful answer as an error.
func refusalError(r reply) error {
	var a api.Answer
	if err := r.decode(&a); err != nil {
		return err
	}
	return result.Errorf(a.Code, "%s", a.Detail)
}
