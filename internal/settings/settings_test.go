package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
)

// testSettings has fields of every type that the programs' settings use.
type testSettings struct {
	Listen  string   `json:"listen"`
	Slots   int      `json:"slots"`
	Timeout Duration `json:"timeout"`
	Share   float64  `json:"share"`
	On      bool     `json:"on"`
	Entries []string `json:"entries"`
	Tokens  []struct {
		Name string `json:"name"`
	} `json:"tokens"`
	Store *struct {
		URL string `json:"url"`
	} `json:"store"`
	Labels map[string]int `json:"labels"`
	Common
}

// Common is embedded, like the settings that several programs share.
type Common struct {
	LogLevel string `json:"log_level"`
}

func (s *testSettings) Validate() error {
	if s.Slots < 1 {
		return BadValue("slots", "must be at least 1")
	}
	for _, token := range s.Tokens {
		if token.Name == "" {
			return BadValue("tokens[0].name", "is empty")
		}
	}
	return nil
}

func TestLoadValidFile(t *testing.T) {
	s := testSettings{Slots: 8, Common: Common{LogLevel: "info"}}
	must.NoError(t, Load("testdata/good.json", &s))
	must.Eq(t, "127.0.0.1:7000", s.Listen)
	must.Eq(t, 250*time.Millisecond, s.Timeout.Std())
	must.Eq(t, 8, s.Slots)
	must.Eq(t, "debug", s.LogLevel)
	must.Eq(t, []string{"10.0.0.1:1"}, s.Entries)
	must.Eq(t, "http://10.0.0.9:2", s.Store.URL)
}

func TestLoadReportsPositionOfError(t *testing.T) {
	cases := []struct {
		file string
		code result.Code
		want string
	}{
		{"missing.json", result.SettingsUnreadable, "testdata/missing.json"},
		{"syntax.json", result.SettingsSyntax, "testdata/syntax.json:3:3: invalid character"},
		{"trailing.json", result.SettingsSyntax, "testdata/trailing.json:2:1: "},
		{"empty.json", result.SettingsSyntax, "testdata/empty.json:1:1: "},
		{"unknown.json", result.SettingsField, "testdata/unknown.json:4:5: listn: unknown field; known are listen, slots,"},
		{"case.json", result.SettingsField, "testdata/case.json:1:3: Listen: unknown field"},
		{"nested.json", result.SettingsField, "testdata/nested.json:2:30: tokens[1].kind: unknown field; known are name"},
		{"twice.json", result.SettingsField, "testdata/twice.json:3:3: slots: the field is set twice"},
		{"twice_escaped.json", result.SettingsField, "testdata/twice_escaped.json:1:14: slots: the field is set twice"},
		{"type.json", result.SettingsValue, "testdata/type.json:2:12: slots: expected a whole number in range, found string"},
		{"range.json", result.SettingsValue, "testdata/range.json:1:12: slots: expected a whole number in range, found number 1.5"},
		{"duration.json", result.SettingsValue, `testdata/duration.json:1:14: timeout: "5 apples" is not a duration such as "250ms"`},
		{"bare_duration.json", result.SettingsValue, `testdata/bare_duration.json:1:14: timeout: expected a duration such as "250ms", found number`},
		{"null.json", result.SettingsValue, "testdata/null.json:1:12: listen: expected a string, found null"},
		{"list.json", result.SettingsValue, "testdata/list.json:1:1: settings: expected an object, found array"},
		{"element.json", result.SettingsValue, "testdata/element.json:1:19: entries[1]: expected a string, found number"},
		{"value.json", result.SettingsValue, "testdata/value.json:2:20: slots: must be at least 1"},
		{"value_nested.json", result.SettingsValue, "testdata/value_nested.json:1:34: tokens[0].name: is empty"},
		{"value_default.json", result.SettingsValue, "testdata/value_default.json: slots: must be at least 1"},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			err := Load("testdata/"+c.file, &testSettings{})
			must.Eq(t, c.code, result.CodeOf(err))
			must.StrContains(t, err.Error(), c.want)
		})
	}
}

func TestParseRefusesLargeFile(t *testing.T) {
	err := Parse("x", []byte(strings.Repeat(" ", MaxFileBytes+1)), &testSettings{})
	must.Eq(t, result.SettingsUnreadable, result.CodeOf(err))
}

// FuzzParse checks that Parse does not panic, returns only the codes for
// settings, and names the file in every error.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.json")
	must.NoError(f, err)
	for _, path := range files {
		text, err := os.ReadFile(path)
		must.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		err := Parse("f.json", text, &testSettings{Slots: 1})
		if err == nil {
			return
		}
		switch result.CodeOf(err) {
		case result.SettingsSyntax, result.SettingsField, result.SettingsValue:
			must.StrContains(t, err.Error(), "f.json")
		default:
			t.Fatalf("unexpected error: %v", err)
		}
	})
}
