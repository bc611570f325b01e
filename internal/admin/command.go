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

// edit executes a command that changes the configuration.
func (h *Handler) edit(ctx context.Context, c command, e control.Edit) api.Reply {
	if c.id.Role != access.Operator {
		return h.auditReply(c, errorReply(result.Errorf(result.Forbidden, "only operators may change the configuration")))
	}
	if c.statement.DryRun {
		return h.preview(ctx, e)
	}
	e.Operator = c.id.Name
	wait := time.Duration(c.statement.WaitMS) * time.Millisecond
	res, err := h.backend.Apply(ctx, e, wait)
	if err != nil {
		reply := errorReply(err)
		reply.Revision = res.Revision
		return h.auditReply(c, reply)
	}
	return h.auditReply(c, editReply(res, wait > 0))
}

// editReply returns the reply to an applied edit. A command with a wait is
// confirmed only if it is in force everywhere; one without, if it is accepted.
func editReply(res EditResult, waited bool) api.Reply {
	code := result.OK
	if !res.Accepted || (waited && !res.InForce) {
		code = result.CommandUnconfirmed
	}
	reply := newReply(code, editDetail(res))
	reply.Revision = res.Revision
	reply.InForce = res.InForce
	reply.Unconfirmed = slices.Sorted(slices.Values(res.Unconfirmed))
	return reply
}

func editDetail(res EditResult) string {
	switch {
	case res.InForce && !res.Changed:
		return "no change needed; in force everywhere"
	case res.InForce:
		return "in force everywhere"
	case res.Accepted && !res.Changed:
		return "no change needed; not yet confirmed by every process"
	case res.Accepted:
		return "accepted; not yet confirmed by every process"
	default:
		return "stored; not yet acknowledged by enough entries to be accepted"
	}
}

// preview returns the rows that an edit would affect, and changes nothing.
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

// checkRevision reports whether revision, from a command's "if revision", is the
// current one or zero. If not, it returns the reply.
func (h *Handler) checkRevision(ctx context.Context, revision uint64) (api.Reply, bool) {
	if revision == 0 {
		return api.Reply{}, true
	}
	entries, err := h.backend.Entries(ctx)
	if err != nil {
		return errorReply(err), false
	}
	var current uint64
	for _, entry := range entries {
		current = max(current, entry.Revision)
	}
	if current == revision {
		return api.Reply{}, true
	}
	reply := newReply(result.CommandConflict, fmt.Sprintf("the configuration is at revision %d", current))
	reply.Revision = current
	return reply, false
}

// filter returns the rows for which match returns true.
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
	affected := filter(rows, func(row api.EndpointRow) bool {
		return (field == "domain" && row.FailureDomain == name) || (field == "name" && row.Name == name)
	})
	reply := tableReply(query.Inspect{Kind: query.Endpoints, Limit: query.DefaultLimit}, affected, err)
	if err == nil {
		reply.Detail = fmt.Sprintf("dry run, nothing changed; would affect %d known endpoints", len(affected))
	}
	return reply
}

func (h *Handler) previewTeam(ctx context.Context, name string) api.Reply {
	rows, err := h.backend.Teams(ctx)
	current := filter(rows, func(row api.TeamRow) bool { return row.Name == name })
	reply := tableReply(query.Inspect{Kind: query.Teams, Limit: query.DefaultLimit}, current, err)
	if err == nil {
		reply.Detail = "dry run, nothing changed; would create the team"
	}
	if len(current) > 0 && err == nil {
		reply.Detail = "dry run, nothing changed; the rows show the team's current settings"
	}
	return reply
}

func (h *Handler) previewEntry(ctx context.Context, id string) api.Reply {
	rows, err := h.backend.Entries(ctx)
	affected := filter(rows, func(row api.EntryRow) bool { return row.ID == id })
	reply := tableReply(query.Inspect{Kind: query.Entries, Limit: query.DefaultLimit}, affected, err)
	if err == nil {
		reply.Detail = fmt.Sprintf("dry run, nothing changed; would remove %d entries", len(affected))
	}
	return reply
}

// cancel executes a command that cancels the matching jobs that have not ended.
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
