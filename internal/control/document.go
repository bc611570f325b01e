// Package control holds the rules for what all entries must agree on: the
// control document with the operators' configuration, the roster of entries and
// the ownership of cells; when a revision counts as accepted; and how long an
// entry's view counts as confirmed. It does no I/O and reads no clock.
package control

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// DocumentKey is the key of the control document in the store.
const DocumentKey = "pomelosill/control"

// Document holds everything that the entries must agree on. It is a single
// value in the store. Each change increases Revision by one and is written by
// compare-and-swap.
type Document struct {
	Revision uint64 `json:"revision"`
	// Operation identifies the write that made this revision, so that a writer
	// that got no answer can tell whether its own write took effect.
	Operation string `json:"operation"`
	Config    Config `json:"config"`
	// Roster lists the entries that may confirm each other's revision.
	Roster []Member `json:"roster"`
	// PreviousRoster is the roster before its last change. While it is set, a
	// revision is accepted only with enough acknowledgements from both rosters.
	PreviousRoster []Member `json:"previous_roster,omitempty"`
	Cells          []Cell   `json:"cells"`
	// History holds the latest changes of the configuration, newest last.
	History []Change `json:"history,omitempty"`
}

// Decode decodes a document from the store or from another entry. It refuses a
// document that no entry writes: without a cell no submission has an owner, and
// in unsorted lists InService would not find what is out of service. Its errors
// have the code Internal.
func Decode(data []byte) (*Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, result.Wrap(result.Internal, err, "cannot decode the control document")
	}
	if d.Revision == 0 || len(d.Cells) == 0 {
		return nil, result.Errorf(result.Internal, "the control document has no revision or no cells")
	}
	if !slices.IsSorted(d.Config.DomainsOut) || !slices.IsSorted(d.Config.EndpointsOut) {
		return nil, result.Errorf(result.Internal, "the control document lists what is out of service unsorted")
	}
	return &d, nil
}

// Config is the configuration that operators set.
type Config struct {
	// DomainsOut lists the failure domains that are out of service, sorted.
	DomainsOut []string `json:"domains_out,omitempty"`
	// EndpointsOut lists the endpoints that are out of service, sorted.
	EndpointsOut []string `json:"endpoints_out,omitempty"`
	// Teams holds the teams' quotas and rules, sorted by name.
	Teams []Team `json:"teams,omitempty"`
}

// Team holds a team's quotas and rules.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's share of the slots relative to other teams.
	Weight int `json:"weight"`
	// MaxRunning limits the running tasks over all cells; zero means no limit.
	MaxRunning int `json:"max_running,omitempty"`
	// MaxQueued limits the waiting tasks over all cells; zero means no limit.
	MaxQueued int `json:"max_queued,omitempty"`
	// Domains lists the failure domains that the team may use; empty means all.
	Domains []string `json:"domains,omitempty"`
	// MaxTimeoutMS limits the timeout that a caller may ask for; zero means no
	// limit.
	MaxTimeoutMS int64 `json:"max_timeout_ms,omitempty"`
}

// Member is an entry on the roster. A restarted entry is a new member.
type Member struct {
	// ID is generated anew at each start of an entry.
	ID string `json:"id"`
	// Address is where other processes reach the entry.
	Address       string `json:"address"`
	FailureDomain string `json:"domain"`
	// Ended is set if the member is certain not to act any more, so that it
	// counts as having acknowledged every revision. It is set on the previous
	// roster only: by a member that leaves, by its successor on the same
	// address, or by an operator.
	Ended bool `json:"ended,omitempty"`
}

// Cell is the ownership of one cell. The cell's number is its index in
// Document.Cells.
type Cell struct {
	// Owner is the ID of the member that starts the cell's tasks, or empty.
	Owner string `json:"owner"`
	// Generation increases with each change of the owner.
	Generation uint64 `json:"generation"`
	// Deputy is the ID of the member that takes the cell over first. The cell's
	// agents keep a stream to it, so that it can fence them without delay.
	Deputy string `json:"deputy,omitempty"`
}

// Change is one change of the configuration, for the audit history.
type Change struct {
	Revision  uint64 `json:"revision"`
	Operator  string `json:"who"`
	Statement string `json:"what"`
	// Object is what was changed, for example "domain Comas".
	Object string    `json:"object"`
	At     time.Time `json:"at"`
}

// Edit is an operator's change of the configuration or the roster. Exactly one
// of Domain, Endpoint, Team and RemoveMember is set.
type Edit struct {
	// Operator is the operator's name from the token.
	Operator string
	// Statement is the command as typed, for the audit history.
	Statement string
	Domain    *ServiceEdit
	Endpoint  *ServiceEdit
	Team      *TeamEdit
	// RemoveMember is the ID of an entry that is to leave the roster. The
	// operator asserts that its process has ended.
	RemoveMember string
	// KnownRevision is the revision that the operator's entry had when the
	// command arrived. The edit conflicts with a later change of the same
	// object.
	KnownRevision uint64
	// IfRevision refuses the edit unless the document is at this revision; zero
	// accepts any revision.
	IfRevision uint64
}

// ServiceEdit takes a failure domain or an endpoint out of service, or returns
// it to service.
type ServiceEdit struct {
	Name string
	Out  bool
}

// TeamEdit sets the fields of a team that are not nil. A team that does not
// exist is created with weight 1. Remove deletes the team.
type TeamEdit struct {
	Name         string
	Remove       bool
	Weight       *int
	MaxRunning   *int
	MaxQueued    *int
	Domains      *[]string
	MaxTimeoutMS *int64
}
