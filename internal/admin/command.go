package admin

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/access"
	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/query"
	"github.com/pomelosill/pomelosill/internal/result"
)

// edit changes the configuration.
func (h *Handler) edit(ctx context.Context, c command, e control.Edit) api.Reply {
	if c.id.Role != access.Operator {
		return h.auditReply(c, errorReply(result.Errorf(result.Forbidden, "the configuration is for operators")))
	}
	if c.statement.DryRun {
		return h.preview(ctx, e)
	}
	e.Operator = c.id.Name
	wait := time.Duration(c.statement.WaitMS) * time.Millisecond
	applied, err := h.backend.Apply(ctx, e, wait)
	if err != nil {
		reply := errorReply(err)
		reply.Revision = applied.Revision
		return h.auditReply(c, reply)
	}
	return h.auditReply(c, editReply(applied, wait > 0))
}

// editReply tells how far a command has come. A command that was to be
// waited for is confirmed only when it is in force everywhere.
func editReply(a EditResult, waited bool) api.Reply {
	code := result.OK
	if !a.Accepted || (waited && !a.InForce) {
		code = result.CommandUnconfirmed
	}
	reply := newReply(code, editDetail(a))
	reply.Revision = a.Revision
	reply.InForce = a.InForce
	reply.Unconfirmed = slices.Sorted(slices.Values(a.Unconfirmed))
	return reply
}

func editDetail(a EditResult) string {
	switch {
	case a.InForce && !a.Changed:
		return "the configuration already said so, and it is in force everywhere"
	case a.InForce:
		return "in force everywhere"
	case a.Accepted && !a.Changed:
		return "the configuration already said so"
	case a.Accepted:
		return "accepted, on its way to every process"
	default:
		return "stored, not yet accepted by enough entries"
	}
}

// preview shows what an edit would touch and changes nothing.
func (h *Handler) preview(ctx context.Context, e control.Edit) api.Reply {
	if reply, ok := h.checkRevision(ctx, e.IfRevision); !ok {
		return reply
	}
	switch {
	case e.Domain != nil:
		return h.previewEndpoints(ctx, "domain", e.Domain.Name)
	case e.Endpoint != nil:
		return h.previewEndpoints(ctx, "name", e.Endpoint.Name)
	case e.Team != nil:
		return h.previewTeam(ctx, e.Team.Name)
	default:
		return h.previewEntry(ctx, e.RemoveMember)
	}
}

// checkRevision tells whether the guard's revision is the present one.
func (h *Handler) checkRevision(ctx context.Context, revision uint64) (api.Reply, bool) {
	if revision == 0 {
		return api.Reply{}, true
	}
	entries, err := h.backend.Entries(ctx)
	if err != nil {
		return errorReply(err), false
	}
	var present uint64
	for _, entry := range entries {
		present = max(present, entry.Revision)
	}
	if present == revision {
		return api.Reply{}, true
	}
	reply := newReply(result.CommandConflict, fmt.Sprintf("the configuration is at revision %d", present))
	reply.Revision = present
	return reply, false
}

// filter returns the rows for which match is true.
func filter[T any](rows []T, match func(T) bool) []T {
	var found []T
	for _, row := range rows {
		if match(row) {
			found = append(found, row)
		}
	}
	return found
}

func (h *Handler) previewEndpoints(ctx context.Context, field, name string) api.Reply {
	rows, err := h.backend.Endpoints(ctx)
	touched := filter(rows, func(row api.EndpointRow) bool {
		return (field == "domain" && row.FailureDomain == name) || (field == "name" && row.Name == name)
	})
	reply := tableReply(query.Inspect{Kind: query.Endpoints, Limit: query.DefaultLimit}, touched, err)
	if err == nil {
		reply.Detail = fmt.Sprintf("dry run, nothing changed; would touch %d attached endpoints", len(touched))
	}
	return reply
}

func (h *Handler) previewTeam(ctx context.Context, name string) api.Reply {
	rows, err := h.backend.Teams(ctx)
	present := filter(rows, func(row api.TeamRow) bool { return row.Name == name })
	reply := tableReply(query.Inspect{Kind: query.Teams, Limit: query.DefaultLimit}, present, err)
	if err == nil {
		reply.Detail = "dry run, nothing changed; the team is new"
	}
	if len(present) > 0 && err == nil {
		reply.Detail = "dry run, nothing changed; the team's present settings are shown"
	}
	return reply
}

func (h *Handler) previewEntry(ctx context.Context, id string) api.Reply {
	rows, err := h.backend.Entries(ctx)
	touched := filter(rows, func(row api.EntryRow) bool { return row.ID == id })
	reply := tableReply(query.Inspect{Kind: query.Entries, Limit: query.DefaultLimit}, touched, err)
	if err == nil {
		reply.Detail = fmt.Sprintf("dry run, nothing changed; would remove %d entries", len(touched))
	}
	return reply
}

// cancel cancels the matching jobs that have not ended.
func (h *Handler) cancel(ctx context.Context, c command, q query.Cancel) api.Reply {
	rows, err := h.jobs(ctx, c.id)
	if err != nil {
		return h.auditReply(c, errorReply(err))
	}
	matching := unfinished(query.Filter(q.Where, rows))
	if c.statement.DryRun {
		reply := tableReply(query.Inspect{Kind: query.Jobs, Limit: query.DefaultLimit}, matching, nil)
		reply.Detail = fmt.Sprintf("dry run, nothing changed; would cancel %d jobs", len(matching))
		return reply
	}
	ids := make([]string, len(matching))
	for i, row := range matching {
		ids[i] = row.ID
	}
	reached, err := h.backend.Cancel(ctx, c.id.Name, ids)
	if err != nil {
		return h.auditReply(c, errorReply(err))
	}
	return h.auditReply(c, newReply(result.OK, fmt.Sprintf("cancelled %d of %d matching jobs", reached, len(ids))))
}

func unfinished(rows []api.JobRow) []api.JobRow {
	var kept []api.JobRow
	for _, row := range rows {
		if row.Waiting+row.Running > 0 {
			kept = append(kept, row)
		}
	}
	return kept
}
