// Package settings reads a process's settings file: JSON with comments and
// trailing commas. Unknown fields, repeated fields and bad values are refused
// with file, line, column, field, reason and result code.
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

// MaxFileBytes is the largest settings file.
const MaxFileBytes = 1 << 20

// Settings is a program's settings struct, filled with defaults before Load.
type Settings interface {
	// Validate returns an error made by BadValue, which names the field and
	// the reason.
	Validate() error
}

// BadValue makes the error of a Validate method, with code SettingsValue.
// field is the path to the setting as written in the file, such as
// "tokens[0].name"; Load adds where it stands.
func BadValue(field, reason string) error {
	return result.Errorf(result.SettingsValue, "%s: %s", field, reason)
}

// Load reads path into s and validates it. Its errors carry the codes
// SettingsUnreadable, SettingsSyntax, SettingsField and SettingsValue.
func Load(path string, s Settings) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(result.SettingsUnreadable, err, path)
	}
	return Parse(path, text, s)
}

// Parse is Load on text already read; path only serves the errors.
func Parse(path string, text []byte, s Settings) error {
	f := file{path: path, text: text}
	if len(text) > MaxFileBytes {
		return result.Errorf(result.SettingsUnreadable, "%s: the file may have %d bytes", path, MaxFileBytes)
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return f.syntaxError(err)
	}
	if err := f.check(root, reflect.TypeOf(s).Elem(), ""); err != nil {
		return err
	}
	// Standardize works in place, and the text still has to tell places.
	standard := root.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), s); err != nil {
		return result.Wrap(result.SettingsValue, err, path)
	}
	if err := s.Validate(); err != nil {
		return f.locateError(root, err)
	}
	return nil
}

// locateError adds to a Validate error where its field stands in the file. A
// field that is not in the file has its default, and no place.
func (f file) locateError(root hujson.Value, err error) error {
	var e *result.Error
	if !errors.As(err, &e) {
		return result.Wrap(result.SettingsValue, err, f.path)
	}
	field, _, _ := strings.Cut(e.Detail, " ")
	field = strings.TrimSuffix(field, ":")
	place := f.path
	if v, ok := findField(root, field); ok {
		place = f.position(v.StartOffset)
	}
	return &result.Error{Code: e.Code, Detail: place + ": " + e.Detail, Err: e.Err}
}

// CheckFile reads path into a new value of like's type and validates it.
func CheckFile(path string, like Settings) error {
	fresh, ok := reflect.New(reflect.TypeOf(like).Elem()).Interface().(Settings)
	if !ok {
		return result.Errorf(result.Internal, "%T can't be made", like)
	}
	// Fields that the file leaves out keep their present values.
	reflect.ValueOf(fresh).Elem().Set(reflect.ValueOf(like).Elem())
	return Load(path, fresh)
}
