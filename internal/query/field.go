package query

import (
	"reflect"
	"strings"
	"time"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// fieldType determines which values a field accepts and how it is compared.
type fieldType int

const (
	textField fieldType = iota
	numberField
	// millisField is a number of milliseconds. Its values may also be written
	// as durations.
	millisField
	listField
	timeField
)

// millisSuffix is the end of the names of fields in milliseconds. Statements
// may omit it.
const millisSuffix = "_ms"

// field is a column of one kind of rows.
type field struct {
	// name is the JSON name of the struct field.
	name  string
	typ   fieldType
	index int
}

// schema lists the fields of one kind of rows.
type schema struct {
	kind   Kind
	row    reflect.Type
	fields []field
}

var schemas = map[Kind]schema{
	Jobs:           newSchema[api.JobRow](Jobs),
	FailureDomains: newSchema[api.FailureDomainRow](FailureDomains),
	Endpoints:      newSchema[api.EndpointRow](Endpoints),
	Entries:        newSchema[api.EntryRow](Entries),
	Teams:          newSchema[api.TeamRow](Teams),
	Changes:        newSchema[api.ChangeRow](Changes),
}

// newSchema derives the fields from the JSON tags of a row type.
func newSchema[T any](kind Kind) schema {
	s := schema{kind: kind, row: reflect.TypeFor[T]()}
	for i := range s.row.NumField() {
		structField := s.row.Field(i)
		name, _, _ := strings.Cut(structField.Tag.Get("json"), ",")
		typ := fieldTypeOf(name, structField.Type)
		s.fields = append(s.fields, field{name: name, typ: typ, index: i})
	}
	return s
}

func fieldTypeOf(name string, t reflect.Type) fieldType {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return timeField
	case t.Kind() == reflect.Slice:
		return listField
	case t.Kind() == reflect.String:
		return textField
	case strings.HasSuffix(name, millisSuffix):
		return millisField
	default:
		return numberField
	}
}

// find returns the field with the given name.
func (s schema) find(n wordNode) (field, error) {
	name := strings.ToLower(n.Text)
	for _, f := range s.fields {
		if f.name == name || f.name == name+millisSuffix {
			return f, nil
		}
	}
	return field{}, errorAt(result.QueryField, n.Pos, "%s have no field %q; expected %s", s.kind, n.Text, joinOr(s.columns()))
}

// columns returns the names of the fields in order.
func (s schema) columns() []string {
	names := make([]string, len(s.fields))
	for i, f := range s.fields {
		names[i] = f.name
	}
	return names
}
