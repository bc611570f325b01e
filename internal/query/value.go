package query

import (
	"cmp"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// operator is a comparison operator.
type operator string

const (
	opEqual          operator = "="
	opNotEqual       operator = "!="
	opLess           operator = "<"
	opLessOrEqual    operator = "<="
	opGreater        operator = ">"
	opGreaterOrEqual operator = ">="
	opContains       operator = "~"
)

// value is a value in a statement, converted to the type of the field that it
// is compared with.
type value struct {
	text   string
	number float64
	time   time.Time
}

// newCondition checks that the operator and the value are valid for the field.
func newCondition(f field, op operator, n textNode) (Condition, error) {
	c := Condition{field: f, op: op, value: value{text: n.text()}}
	if !f.supports(op) {
		return c, errorAt(result.QueryField, n.Pos, "%s can't be compared by %s; expected %s", f.name, op, f.supportedOperators())
	}
	var ok bool
	switch f.typ {
	case textField, listField:
		return c, nil
	case numberField:
		c.value.number, ok = parseNumber(c.value.text)
	case millisField:
		c.value.number, ok = parseMillis(c.value.text)
	case timeField:
		c.value.time, ok = parseTime(c.value.text)
	}
	if !ok {
		return c, errorAt(result.QueryField, n.Pos, "%q is not a value of %s; expected %s", c.value.text, f.name, f.expectedValue())
	}
	return c, nil
}

// supports reports whether the field can be compared by op.
func (f field) supports(op operator) bool {
	switch f.typ {
	case textField:
		return true
	case listField:
		return op == opEqual || op == opNotEqual || op == opContains
	default:
		return op != opContains
	}
}

func (f field) supportedOperators() string {
	if f.typ == listField {
		return "= != ~"
	}
	return "= != < <= > >="
}

func (f field) expectedValue() string {
	switch f.typ {
	case millisField:
		return "a duration such as 250ms, or a number of milliseconds"
	case timeField:
		return "a time such as 2006-01-02T15:04:05Z"
	default:
		return "a number"
	}
}

func parseNumber(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, false
	}
	return number, true
}

func parseMillis(text string) (float64, bool) {
	if d, err := time.ParseDuration(text); err == nil {
		return float64(d) / float64(time.Millisecond), true
	}
	return parseNumber(text)
}

func parseTime(text string) (time.Time, bool) {
	t, err := time.Parse(time.RFC3339, text)
	return t, err == nil
}

// matches reports whether the row satisfies the condition.
func (c Condition) matches(row reflect.Value) bool {
	got := row.Field(c.field.index)
	switch c.field.typ {
	case textField:
		return c.matchesText(got.String())
	case listField:
		return c.matchesList(got)
	case timeField:
		return c.satisfiedBy(asTime(got).Compare(c.value.time))
	default:
		return c.satisfiedBy(cmp.Compare(asNumber(got), c.value.number))
	}
}

func (c Condition) matchesText(got string) bool {
	if c.op == opContains {
		return strings.Contains(strings.ToLower(got), strings.ToLower(c.value.text))
	}
	return c.satisfiedBy(strings.Compare(got, c.value.text))
}

// matchesList reports, for = and ~, whether any element matches, and for !=,
// whether no element is equal.
func (c Condition) matchesList(got reflect.Value) bool {
	element := c
	if c.op == opNotEqual {
		element.op = opEqual
	}
	matched := false
	for i := range got.Len() {
		matched = matched || element.matchesText(got.Index(i).String())
	}
	return matched != (c.op == opNotEqual)
}

// satisfiedBy reports whether the result of comparing the field with the value
// satisfies the operator.
func (c Condition) satisfiedBy(order int) bool {
	switch c.op {
	case opEqual:
		return order == 0
	case opNotEqual:
		return order != 0
	case opLess:
		return order < 0
	case opLessOrEqual:
		return order <= 0
	case opGreater:
		return order > 0
	case opGreaterOrEqual:
		return order >= 0
	default:
		return false
	}
}

// compare compares two rows by the key's field.
func (k SortKey) compare(a, b reflect.Value) int {
	order := compareFields(k.field, a.Field(k.field.index), b.Field(k.field.index))
	if k.descending {
		return -order
	}
	return order
}

func compareFields(f field, a, b reflect.Value) int {
	switch f.typ {
	case textField:
		return strings.Compare(a.String(), b.String())
	case listField:
		return slices.Compare(asList(a), asList(b))
	case timeField:
		return asTime(a).Compare(asTime(b))
	default:
		return cmp.Compare(asNumber(a), asNumber(b))
	}
}

func asNumber(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	default:
		return v.Float()
	}
}

func asTime(v reflect.Value) time.Time {
	t, _ := v.Interface().(time.Time)
	return t
}

func asList(v reflect.Value) []string {
	list, _ := v.Interface().([]string)
	return list
}
