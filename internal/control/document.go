// Package control is the decision core of what must be agreed: the control
// document with the operators' configuration, the roster of entries and the
// ownership of cells; when a revision counts as accepted; and how fresh an
// entry's view is. It is pure: time is passed in.
package control

import (
	"time"
)

// DocumentKey is the store's key of the control document.
const DocumentKey = "pomelosill/control"

// Document is the one value in the store that everything agreed lives in.
// Every change raises Revision by one and is written by compare-and-swap.
type Document struct {
	Revision uint64 `json:"revision"`
	// Operation names the write that made this revision, so that a writer
	// whose answer was lost can tell its own write from another's.
	Operation string `json:"operation"`
	Config    Config `json:"config"`
	// Roster lists the entries that may vouch for each other.
	Roster []Member `json:"roster"`
	// PreviousRoster is the roster before the last change of it. While it is
	// set, a revision is accepted only by enough of both.
	PreviousRoster []Member `json:"previous_roster,omitempty"`
	Cells          []Cell   `json:"cells"`
	// History holds the last changes of the configuration, newest last.
	History []Change `json:"history,omitempty"`
}

// Config is what operators set.
type Config struct {
	// DomainsOut are the failure domains out of service.
	DomainsOut []string `json:"domains_out,omitempty"`
	// EndpointsOut are the endpoints out of service.
	EndpointsOut []string `json:"endpoints_out,omitempty"`
	// Teams are the quotas, sorted by name.
	Teams []Team `json:"teams,omitempty"`
}

// Team is a team's quota and rules.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's share of slots against other teams.
	Weight int `json:"weight"`
	// MaxRunning bounds running tasks over all cells; zero is no bound.
	MaxRunning int `json:"max_running,omitempty"`
	// MaxQueued bounds waiting tasks over all cells; zero is no bound.
	MaxQueued int `json:"max_queued,omitempty"`
	// Domains are the failure domains the team may use; empty is all.
	Domains []string `json:"domains,omitempty"`
	// MaxTimeoutMS bounds the deadline a caller may ask for; zero is no bound.
	MaxTimeoutMS int64 `json:"max_timeout_ms,omitempty"`
}

// Member is an entry on the roster. A restarted entry is another member.
type Member struct {
	// ID is new at each start of an entry.
	ID string `json:"id"`
	// Address is where other processes reach it.
	Address       string `json:"address"`
	FailureDomain string `json:"domain"`
	// Ended tells that the member's process has surely ended, so that it
	// counts as having acknowledged everything. It is set on the previous
	// roster only: by a member that leaves, by its successor on the same
	// address, or by an operator.
	Ended bool `json:"ended,omitempty"`
}

// Cell is the ownership of one cell; its number is its place in the list.
type Cell struct {
	// Owner is the member that starts the cell's tasks, empty for none.
	Owner string `json:"owner"`
	// Generation is the owner's number.
	Generation uint64 `json:"generation"`
	// Deputy is the member that takes the cell over first. The cell's agents
	// keep a stream to it, so that it can fence them at once.
	Deputy string `json:"deputy,omitempty"`
}

// Change is one audited change of the configuration.
type Change struct {
	Revision  uint64 `json:"revision"`
	Operator  string `json:"who"`
	Statement string `json:"what"`
	// Object is what was changed, such as "domain Comas".
	Object string    `json:"object"`
	At     time.Time `json:"at"`
}

// Edit is one operator's change of the configuration. Exactly one of
// Domain, Endpoint, Team and RemoveMember is set.
type Edit struct {
	// Operator is the operator's name from the token.
	Operator string
	// Statement is the statement as typed, for the audit.
	Statement string
	Domain    *ServiceEdit
	Endpoint  *ServiceEdit
	Team      *TeamEdit
	// RemoveMember asserts that an entry's process has ended for good.
	RemoveMember string
	// KnownRevision is the revision that the operator's entry knew when the command
	// arrived. The edit conflicts with a later change of the same object.
	KnownRevision uint64
	// IfRevision refuses the edit unless the document is at this revision;
	// zero accepts any.
	IfRevision uint64
}

// ServiceEdit takes a failure domain or an endpoint out of service or back.
type ServiceEdit struct {
	Name string
	Out  bool
}

// TeamEdit sets fields of a team; nil fields stay. A team that does not exist
// is made with weight 1. Remove deletes the team.
type TeamEdit struct {
	Name         string
	Remove       bool
	Weight       *int
	MaxRunning   *int
	MaxQueued    *int
	Domains      *[]string
	MaxTimeoutMS *int64
}
