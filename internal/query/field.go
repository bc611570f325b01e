package query

import (
	"reflect"
	"strings"
	"time"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// fieldType decides which values a field takes and how it is compared.
type fieldType int

const (
	textField fieldType = iota
	numberField
	// millisField is a number of milliseconds; it also takes durations.
	millisField
	listField
	timeField
)

// millisSuffix ends the name of a field in milliseconds; statements may leave
// it out.
const millisSuffix = "_ms"

// field is one column of a kind of rows.
type field struct {
	// name is the row's JSON name.
	name  string
	typ   fieldType
	index int
}

// schema is the list of fields of one kind of rows.
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

// newSchema reads the fields of a row type from its JSON tags.
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

// find returns the field that a statement names.
func (s schema) find(n wordNode) (field, error) {
	name := strings.ToLower(n.Text)
	for _, f := range s.fields {
		if f.name == name || f.name == name+millisSuffix {
			return f, nil
		}
	}
	return field{}, errorAt(result.QueryField, n.Pos, "%s have no field %q; expected %s", s.kind, n.Text, joinOr(s.columns()))
}

// columns are the names of the fields in order.
func (s schema) columns() []string {
	names := make([]string, len(s.fields))
	for i, f := range s.fields {
		names[i] = f.name
	}
	return names
}
