// Package settings reads the settings file of a process, which is JSON with
// comments and trailing commas. Unknown fields, repeated fields and invalid
// values are refused. The error has a result code and names the file, line,
// column, field and reason.
package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/pomelosill/pomelosill/internal/result"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Settings is implemented by a program's settings struct. The struct holds the
// defaults before Load is called.
type Settings interface {
	// Validate checks the settings. It returns an error made by BadValue, which
	// names the field and the reason.
	Validate() error
}

// BadValue returns an error for a Validate method, with the code SettingsValue.
// field is the path to the setting as in the file, such as "tokens[0].name".
// Load adds the position in the file.
func BadValue(field, reason string) error {
	return result.Errorf(result.SettingsValue, "%s: %s", field, reason)
}

// Load reads the file at path into s and validates it. Its errors have the
// codes SettingsUnreadable, SettingsSyntax, SettingsField and SettingsValue.
func Load(path string, s Settings) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(result.SettingsUnreadable, err, path)
	}
	return Parse(path, text, s)
}

// Parse is like Load for a file that has been read already. path is only used
// in errors.
func Parse(path string, text []byte, s Settings) error {
	f := file{path: path, text: text}
	if len(text) > MaxFileBytes {
		return result.Errorf(result.SettingsUnreadable, "%s: the file is larger than %d bytes", path, MaxFileBytes)
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return f.syntaxError(err)
	}
	if err := f.check(root, reflect.TypeOf(s).Elem(), ""); err != nil {
		return err
	}
	// Standardize modifies its receiver, and root is still needed to find the
	// positions of fields.
	standardized := root.Clone()
	standardized.Standardize()
	if err := json.Unmarshal(standardized.Pack(), s); err != nil {
		return result.Wrap(result.SettingsValue, err, path)
	}
	if err := s.Validate(); err != nil {
		return f.locateError(root, err)
	}
	return nil
}

// locateError adds the position of the field to an error of Validate. A field
// that is not in the file has its default value and no position.
func (f file) locateError(root hujson.Value, err error) error {
	var e *result.Error
	if !errors.As(err, &e) {
		return result.Wrap(result.SettingsValue, err, f.path)
	}
	field, _, _ := strings.Cut(e.Detail, " ")
	field = strings.TrimSuffix(field, ":")
	position := f.path
	if v, ok := findField(root, field); ok {
		position = f.position(v.StartOffset)
	}
	return &result.Error{Code: e.Code, Detail: position + ": " + e.Detail, Err: e.Err}
}

// CheckFile reads and validates the file at path like Load, but into a copy of
// current, so that current does not change.
func CheckFile(path string, current Settings) error {
	target, ok := reflect.New(reflect.TypeOf(current).Elem()).Interface().(Settings)
	if !ok {
		return result.Errorf(result.Internal, "cannot create a value of type %T", current)
	}
	// Fields that are not in the file keep their current values.
	reflect.ValueOf(target).Elem().Set(reflect.ValueOf(current).Elem())
	return Load(path, target)
}
