package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/settings"
)

const validSettings = `{"name": "d", "listen": "a:1", "ready": "a:2", "peer": "a:3", "metrics": "a:4", "store": "s:1",
	"lease_max": "1000ms", "grace": "6s", "log_level": "warn", "processor_cores": 0.19}`

func TestSettingsFileIsRead(t *testing.T) {
	s := DefaultSettings()
	must.NoError(t, settings.Parse("d.jsonc", []byte(validSettings), &s))
	must.Eq(t, "d", s.Name)
	must.Eq(t, "a:3", s.Peer)
	must.Eq(t, "warn", s.Level())
	must.Eq(t, 0.19, s.ProcessorCores)
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		`{"name": "d", "ready": "a:2", "peer": "a:3", "store": "s:1"}`:                                         "listen: must be given",
		`{"name": "d", "listen": "a:1", "ready": "a:2", "peer": "a:3", "store": "s:1", "lease_max": "0s"}`:     "lease_max: must be at least",
		`{"name": "d", "listen": "a:1", "ready": "a:2", "peer": "a:3", "store": "s:1", "grace": "1s"}`:         "grace: must be at least 2s",
		`{"name": "d", "listen": "a:1", "ready": "a:2", "peer": "a:3", "store": "s:1", "processor_cores": -1}`: "processor_cores: must not be negative",
		`{"nam": "d"}`: "unknown field",
	} {
		s := DefaultSettings()
		err := settings.Parse("d.jsonc", []byte(text), &s)
		must.Error(t, err)
		must.StrContains(t, err.Error(), want)
	}
}
