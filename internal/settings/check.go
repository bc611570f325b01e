package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/pomelosill/pomelosill/internal/result"
)

// check compares a parsed value with the Go type into which it will be decoded.
// It exists because the errors of encoding/json do not give the position of a
// value.
func (f file) check(v hujson.Value, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch composite := v.Value.(type) {
	case *hujson.Object:
		if t.Kind() == reflect.Struct && !implementsUnmarshaler(t) {
			return f.checkStruct(composite, t, path)
		}
		if t.Kind() == reflect.Map && !implementsUnmarshaler(t) {
			return f.checkMap(composite, t, path)
		}
	case *hujson.Array:
		if t.Kind() == reflect.Slice && !implementsUnmarshaler(t) {
			return f.checkSlice(composite, t, path)
		}
	}
	return f.checkValue(v, t, path)
}

func (f file) checkStruct(object *hujson.Object, t reflect.Type, path string) error {
	fields := fieldsOf(t)
	if err := f.checkDuplicates(object, path); err != nil {
		return err
	}
	for _, m := range object.Members {
		name := memberName(m)
		i := slices.IndexFunc(fields, func(sf structField) bool { return sf.name == name })
		if i < 0 {
			reason := "unknown field; known are " + knownNames(fields)
			return f.errorAt(result.SettingsField, m.Name.StartOffset, joinPath(path, name), reason)
		}
		if err := f.check(m.Value, fields[i].typ, joinPath(path, name)); err != nil {
			return err
		}
	}
	return nil
}

func (f file) checkMap(object *hujson.Object, t reflect.Type, path string) error {
	if err := f.checkDuplicates(object, path); err != nil {
		return err
	}
	for _, m := range object.Members {
		if err := f.check(m.Value, t.Elem(), joinPath(path, memberName(m))); err != nil {
			return err
		}
	}
	return nil
}

// checkDuplicates refuses an object that contains the same name twice.
func (f file) checkDuplicates(object *hujson.Object, path string) error {
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := memberName(m)
		if seen[name] {
			return f.errorAt(result.SettingsField, m.Name.StartOffset, joinPath(path, name), "the field is set twice")
		}
		seen[name] = true
	}
	return nil
}

func (f file) checkSlice(array *hujson.Array, t reflect.Type, path string) error {
	for i, element := range array.Elements {
		if err := f.check(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// checkValue checks a single value by decoding it separately.
func (f file) checkValue(v hujson.Value, t reflect.Type, path string) error {
	if path == "" {
		path = "settings"
	}
	if v.Value.Kind() == 'n' {
		return f.errorAt(result.SettingsValue, v.StartOffset, path, "expected "+describeType(t)+", found null")
	}
	single := v.Clone()
	single.Standardize()
	err := json.Unmarshal(single.Pack(), reflect.New(t).Interface())
	if err == nil {
		return nil
	}
	reason := err.Error()
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		reason = fmt.Sprintf("expected %s, found %s", describeType(t), mismatch.Value)
	}
	return f.errorAt(result.SettingsValue, v.StartOffset, path, reason)
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func implementsUnmarshaler(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(unmarshalerType)
}

// structField is a field of a settings struct with its JSON name.
type structField struct {
	name string
	typ  reflect.Type
}

// fieldsOf returns the JSON fields of a struct, including those of embedded
// structs.
func fieldsOf(t reflect.Type) []structField {
	var fields []structField
	for _, sf := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if !sf.IsExported() || name == "-" || (sf.Anonymous && name == "") {
			continue
		}
		if name == "" {
			name = sf.Name
		}
		fields = append(fields, structField{name: name, typ: sf.Type})
	}
	return fields
}

func knownNames(fields []structField) string {
	names := make([]string, len(fields))
	for i, sf := range fields {
		names[i] = sf.name
	}
	return strings.Join(names, ", ")
}

// describeType returns what a user must write for a setting of type t.
func describeType(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a duration such as "250ms"`
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
