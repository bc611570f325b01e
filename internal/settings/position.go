package settings

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/pomelosill/pomelosill/internal/result"
)

// file is a settings file. Its text is kept to find the positions for errors.
type file struct {
	path string
	text []byte
}

// position returns the path, line and column of an offset. Line and column are
// counted from 1, the column in characters.
func (f file) position(offset int) string {
	before := f.text[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	lineStart := 1 + bytes.LastIndexByte(before, '\n')
	column := 1 + utf8.RuneCount(before[lineStart:])
	return fmt.Sprintf("%s:%d:%d", f.path, line, column)
}

// errorAt returns an error about the field at an offset.
func (f file) errorAt(code result.Code, offset int, field, reason string) error {
	return result.Errorf(code, "%s: %s: %s", f.position(offset), field, reason)
}

// syntaxError converts the parser's error to the format of the other errors.
func (f file) syntaxError(err error) error {
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return result.Wrap(result.SettingsSyntax, err, f.path)
	}
	_, reason, _ := strings.Cut(text, ": ")
	_, reason, _ = strings.Cut(reason, ": ")
	return result.Errorf(result.SettingsSyntax, "%s:%d:%d: %s", f.path, line, column, reason)
}

// findField returns the value at a path such as "tokens[0].name".
func findField(v hujson.Value, path string) (hujson.Value, bool) {
	for _, step := range strings.FieldsFunc(path, isPathSeparator) {
		next, ok := findElement(v, step)
		if !ok {
			return hujson.Value{}, false
		}
		v = next
	}
	return v, path != ""
}

func isPathSeparator(r rune) bool { return strings.ContainsRune(".[]", r) }

func findElement(v hujson.Value, step string) (hujson.Value, bool) {
	switch composite := v.Value.(type) {
	case *hujson.Object:
		for _, m := range composite.Members {
			if memberName(m) == step {
				return m.Value, true
			}
		}
	case *hujson.Array:
		var i int
		if _, err := fmt.Sscanf(step, "%d", &i); err != nil || i < 0 || i >= len(composite.Elements) {
			return hujson.Value{}, false
		}
		return composite.Elements[i], true
	}
	return hujson.Value{}, false
}

// memberName returns the unquoted name of an object member.
func memberName(m hujson.ObjectMember) string {
	name, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return name.String()
}
