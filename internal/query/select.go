package query

import (
	"reflect"
	"slices"
)

// Table is the result of an Inspect statement.
type Table struct {
	// Columns holds the JSON names of the row type's fields.
	Columns []string
	// Rows holds the fields of each row in the order of Columns.
	Rows [][]any
	// Matched is the number of rows that satisfy the conditions. Rows holds at
	// most the limit of them.
	Matched int
}

// Select filters, sorts and limits rows. T is the row type of q.Kind in package
// api. Rows that compare equal are ordered by their first field.
func Select[T any](q Inspect, rows []T) Table {
	schema := schemas[q.Kind]
	keys := append(slices.Clone(q.Sort), SortKey{field: schema.fields[0]})
	kept := Filter(q.Where, rows)
	slices.SortStableFunc(kept, func(a, b T) int {
		return compareRows(keys, reflect.ValueOf(a), reflect.ValueOf(b))
	})
	table := Table{Columns: schema.columns(), Matched: len(kept)}
	for _, row := range kept[:min(q.Limit, len(kept))] {
		table.Rows = append(table.Rows, schema.values(reflect.ValueOf(row)))
	}
	return table
}

// Filter returns the rows that satisfy all conditions in a new slice. T is the
// row type for which the conditions were parsed.
func Filter[T any](where []Condition, rows []T) []T {
	var kept []T
	for _, row := range rows {
		if satisfiesAll(where, reflect.ValueOf(row)) {
			kept = append(kept, row)
		}
	}
	return kept
}

func satisfiesAll(where []Condition, row reflect.Value) bool {
	for _, c := range where {
		if !c.matches(row) {
			return false
		}
	}
	return true
}

func compareRows(keys []SortKey, a, b reflect.Value) int {
	for _, k := range keys {
		if order := k.compare(a, b); order != 0 {
			return order
		}
	}
	return 0
}

func (s schema) values(row reflect.Value) []any {
	values := make([]any, len(s.fields))
	for i, f := range s.fields {
		values[i] = row.Field(f.index).Interface()
	}
	return values
}
