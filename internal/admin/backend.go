// Package admin serves an entry's API for operators: statements of the query and
// command language, which read rows of the whole system and change its
// configuration.
package admin

import (
	"context"
	"time"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/control"
)

// EditResult is the result of an operator's edit.
type EditResult struct {
	// Revision is the revision of the control document that contains the edit.
	Revision uint64
	// Changed reports whether the edit changed the configuration. It is false if
	// the configuration already was as requested.
	Changed bool
	// Accepted reports whether the revision is accepted: then no entry can
	// act on an older revision for longer than the freshness limit.
	Accepted bool
	// InForce reports whether every entry and every attached agent has
	// confirmed the revision.
	InForce bool
	// Unconfirmed lists the processes that have not confirmed the revision.
	Unconfirmed []string
}

// Backend provides the rows that statements read, and executes commands. The
// entry implements it.
type Backend interface {
	Jobs(ctx context.Context) ([]api.JobRow, error)
	Endpoints(ctx context.Context) ([]api.EndpointRow, error)
	FailureDomains(ctx context.Context) ([]api.FailureDomainRow, error)
	Entries(ctx context.Context) ([]api.EntryRow, error)
	Teams(ctx context.Context) ([]api.TeamRow, error)
	Changes(ctx context.Context) ([]api.ChangeRow, error)
	// Apply makes an edit and waits at most wait for it to be in force. Its
	// errors have the code CommandRefused, CommandConflict (the result then
	// contains the current revision), StoreUnavailable or StoreAnswerLost.
	Apply(ctx context.Context, e control.Edit, wait time.Duration) (EditResult, error)
	// Cancel cancels the jobs with these ids, and returns for how many of them
	// an owner accepted the cancellation.
	Cancel(ctx context.Context, who string, ids []string) (int, error)
}
