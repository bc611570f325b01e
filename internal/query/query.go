// Package query implements the query and command language for operators. Parse
// turns one statement into a typed Statement. Select and Filter apply its
// conditions, sort order and limit to rows of package api. The package does no
// I/O. The language is described in docs/QUERY.md.
package query

import (
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Limits of one statement.
const (
	// MaxTextBytes is the maximum length of a statement.
	MaxTextBytes = 4096
	// DefaultLimit is the number of rows that are shown if a statement has no
	// limit.
	DefaultLimit = 1000
	// MaxLimit is the largest limit that a statement may ask for.
	MaxLimit = 1_000_000
	// MaxNameBytes is the maximum length of a name in a command.
	MaxNameBytes = 128
	// MaxCount is the largest count in a command.
	MaxCount = 1<<31 - 1
)

// Kind is the kind of rows that a statement inspects.
type Kind string

// The kinds of rows.
const (
	Jobs           Kind = "jobs"
	FailureDomains Kind = "domains"
	Endpoints      Kind = "endpoints"
	Entries        Kind = "entries"
	Teams          Kind = "teams"
	Changes        Kind = "changes"
)

// Statement is a parsed statement. Exactly one of its fields is set.
type Statement struct {
	Inspect *Inspect
	// Edit has no Operator and no KnownRevision, which are not part of the
	// statement.
	Edit   *control.Edit
	Cancel *Cancel
}

// Inspect asks for rows of one kind.
type Inspect struct {
	Kind  Kind
	Where []Condition
	Sort  []SortKey
	// Limit is the maximum number of rows to show, at least 1.
	Limit int
}

// Cancel asks to cancel the jobs that satisfy all conditions.
type Cancel struct {
	Where []Condition
}

// Condition compares a field of a row with a value.
type Condition struct {
	field field
	op    operator
	value value
}

// SortKey orders rows by a field.
type SortKey struct {
	field      field
	descending bool
}

// Parse parses one statement. Its errors are *result.Error with the codes
// QuerySyntax and QueryField. Their detail contains the column, counted from 1
// in characters, and what was expected there.
func Parse(text string) (Statement, error) {
	if len(text) > MaxTextBytes {
		return Statement{}, result.Errorf(result.QuerySyntax, "the statement has %d bytes, the maximum is %d", len(text), MaxTextBytes)
	}
	node, err := parser.ParseString("", text)
	if err != nil {
		return Statement{}, syntaxError(text, err)
	}
	return buildStatement(text, node)
}
