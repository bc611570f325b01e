package admin

import (
	"context"
	"fmt"

	"github.com/pomelosill/pomelosill/internal/access"
	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/query"
	"github.com/pomelosill/pomelosill/internal/result"
)

// inspect executes a statement that reads rows.
func (h *Handler) inspect(ctx context.Context, id access.Identity, q query.Inspect) api.Reply {
	if id.Role != access.Operator && q.Kind != query.Jobs {
		return errorReply(result.Errorf(result.Forbidden, "a caller may only inspect jobs"))
	}
	switch q.Kind {
	case query.Jobs:
		rows, err := h.jobs(ctx, id)
		return tableReply(q, rows, err)
	case query.FailureDomains:
		rows, err := h.backend.FailureDomains(ctx)
		return tableReply(q, rows, err)
	case query.Endpoints:
		rows, err := h.backend.Endpoints(ctx)
		return tableReply(q, rows, err)
	case query.Entries:
		rows, err := h.backend.Entries(ctx)
		return tableReply(q, rows, err)
	case query.Teams:
		rows, err := h.backend.Teams(ctx)
		return tableReply(q, rows, err)
	case query.Changes:
		rows, err := h.backend.Changes(ctx)
		return tableReply(q, rows, err)
	}
	return newReply(result.Internal, string(q.Kind))
}

// jobs returns the jobs that id is allowed to see.
func (h *Handler) jobs(ctx context.Context, id access.Identity) ([]api.JobRow, error) {
	rows, err := h.backend.Jobs(ctx)
	var visible []api.JobRow
	for _, row := range rows {
		if id.CheckTeam(row.Team) == nil {
			visible = append(visible, row)
		}
	}
	return visible, err
}

// tableReply returns a reply with the selected rows. Rows may come together with
// an error if only part of the system answered; the reply then has both.
func tableReply[T any](q query.Inspect, rows []T, err error) api.Reply {
	reply := errorReply(err)
	table := query.Select(q, rows)
	reply.Columns = table.Columns
	reply.Rows = table.Rows
	if err == nil && table.Matched > len(table.Rows) {
		reply.Detail = fmt.Sprintf("%d of %d rows; use limit to get more", len(table.Rows), table.Matched)
	}
	return reply
}
