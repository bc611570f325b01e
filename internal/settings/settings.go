// Package settings reads a process's settings file: JSON with comments,
// unknown fields and bad values refused with file, field, reason and code.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/tailscale/hujson"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Settings is a program's settings struct, filled with defaults before Load.
type Settings interface {
	// Validate returns a *result.Error with code SettingsValue that names the
	// field and the reason.
	Validate() error
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
	standard, err := hujson.Standardize(text)
	if err != nil {
		return result.Wrap(result.SettingsSyntax, err, path)
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return result.Wrap(result.SettingsField, err, path)
	}
	if _, err := dec.Token(); err != io.EOF {
		return result.Errorf(result.SettingsSyntax, "%s: text after the settings", path)
	}
	if err := s.Validate(); err != nil {
		return result.Wrap(result.CodeOf(err), err, path)
	}
	return nil
}
