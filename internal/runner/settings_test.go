package runner

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/settings"
)

func TestSettingsFileIsRead(t *testing.T) {
	s := DefaultSettings()
	text := `{"name": "r", "listen": "a:1", "link": "a:2", "advertise": "b:2", "metrics": "a:4", "store": "s:1", "lease_max": "500ms"}`
	must.NoError(t, settings.Parse("r.jsonc", []byte(text), &s))
	must.Eq(t, "r", s.Name)
	must.Eq(t, "b:2", s.address())
	s.Advertise = ""
	must.Eq(t, "a:2", s.address())
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		`{"name": "r", "listen": "a:1", "store": "s:1"}`:                                        "link: must be given",
		`{"name": "r", "listen": "a:1", "link": "a:2", "store": "s:1", "lease_max": "299ms"}`:   "lease_max: must be at least 300ms",
		`{"name": "r", "listen": "a:1", "link": "a:2", "store": "s:1", "grace": "999ms"}`:       "grace: must be at least 1s",
		`{"name": "r", "listen": "a:1", "link": "a:2", "store": "s:1", "log_level": "x", "x":}`: "r.jsonc",
	} {
		s := DefaultSettings()
		err := settings.Parse("r.jsonc", []byte(text), &s)
		must.Error(t, err)
		must.StrContains(t, err.Error(), want)
	}
}
