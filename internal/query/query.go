// Package query is the operators' query and command language: Parse turns one
// sentence into a typed Statement, Select and Match evaluate its filter, sort
// and limit over the rows of package api. The package is pure; docs/QUERY.md
// describes the language.
package query

import (
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Limits of one statement.
const (
	// MaxTextBytes is the longest statement.
	MaxTextBytes = 4096
	// DefaultLimit is the number of rows shown when a statement has no limit.
	DefaultLimit = 1000
	// MaxLimit is the largest limit a statement may ask for.
	MaxLimit = 1_000_000
	// MaxNameBytes is the longest name in a command.
	MaxNameBytes = 128
	// MaxCount is the largest count in a command.
	MaxCount = 1<<31 - 1
)

// Kind names the rows that a statement inspects.
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

// Statement is one parsed sentence. Exactly one of the pointers is set.
type Statement struct {
	Inspect *Inspect
	// Edit lacks Who, which the sentence doesn't say.
	Edit   *control.Edit
	Cancel *Cancel
}

// Inspect asks for rows.
type Inspect struct {
	Kind  Kind
	Where []Condition
	Sort  []SortKey
	// Limit is the largest number of rows to show, at least 1.
	Limit int
}

// Cancel asks to cancel the jobs that match every condition.
type Cancel struct {
	Where []Condition
}

// Condition compares one field of a row with a value.
type Condition struct {
	field field
	op    operator
	value value
}

// SortKey orders rows by one field.
type SortKey struct {
	field      field
	descending bool
}

// Parse reads one sentence. Its errors are *result.Error with the codes
// QuerySyntax and QueryField, whose detail gives the column, counted from 1 in
// characters, and what was expected there.
func Parse(text string) (Statement, error) {
	if len(text) > MaxTextBytes {
		return Statement{}, result.Errorf(result.QuerySyntax, "the statement has %d bytes, at most %d are taken", len(text), MaxTextBytes)
	}
	node, err := parser.ParseString("", text)
	if err != nil {
		return Statement{}, syntaxError(text, err)
	}
	return buildStatement(text, node)
}
