// Package admin serves the operators' API of an entry: the query and command
// language over the rows of the whole system.
package admin

import (
	"context"
	"time"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/control"
)

// EditResult is the result of an operator's edit.
type EditResult struct {
	// Revision is the revision that the edit made.
	Revision uint64
	// Changed is false when the configuration already said so.
	Changed bool
	// Accepted tells that no entry can act on an older revision for longer
	// than the freshness limit.
	Accepted bool
	// InForce tells that every entry and every attached agent has confirmed.
	InForce bool
	// Unconfirmed names the processes that have not confirmed.
	Unconfirmed []string
}

// Backend is what the language reads and writes. The entry implements it.
type Backend interface {
	Jobs(ctx context.Context) ([]api.JobRow, error)
	Endpoints(ctx context.Context) ([]api.EndpointRow, error)
	FailureDomains(ctx context.Context) ([]api.FailureDomainRow, error)
	Entries(ctx context.Context) ([]api.EntryRow, error)
	Teams(ctx context.Context) ([]api.TeamRow, error)
	Changes(ctx context.Context) ([]api.ChangeRow, error)
	// Apply makes an edit and waits at most wait for it to be in force. Its
	// errors carry CommandRefused, CommandConflict (with the winner's
	// revision in Applied), StoreUnavailable or StoreAnswerLost.
	Apply(ctx context.Context, e control.Edit, wait time.Duration) (EditResult, error)
	// Cancel cancels the jobs with these ids, and returns how many of them it
	// reached.
	Cancel(ctx context.Context, who string, ids []string) (int, error)
}
