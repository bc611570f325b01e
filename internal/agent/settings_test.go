package agent

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/settings"
)

const examplePath = "../../docs/examples/agent.jsonc"

func TestExampleSettingsMatchTheDefaults(t *testing.T) {
	s := DefaultSettings()
	must.NoError(t, settings.Load(examplePath, &s))
	want := DefaultSettings()
	want.Endpoint = s.Endpoint
	want.FailureDomain = s.FailureDomain
	want.Slots = s.Slots
	want.EndpointURL = s.EndpointURL
	want.Listen = s.Listen
	want.Entries = s.Entries
	must.Eq(t, want, s)
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	text, err := os.ReadFile(examplePath)
	must.NoError(t, err)
	cases := []struct {
		field  string
		change func(s *Settings)
	}{
		{"endpoint ", func(s *Settings) { s.Endpoint = "" }},
		{"failure_domain ", func(s *Settings) { s.FailureDomain = "" }},
		{"slots ", func(s *Settings) { s.Slots = 0 }},
		{"endpoint_url ", func(s *Settings) { s.EndpointURL = "127.0.0.1:80" }},
		{"listen ", func(s *Settings) { s.Listen = "127.0.0.1" }},
		{"entries ", func(s *Settings) { s.Entries = nil }},
		{"entries ", func(s *Settings) { s.Entries = []string{"host"} }},
		{"freshness ", func(s *Settings) { s.Freshness = s.Heartbeat }},
		{"heartbeat ", func(s *Settings) { s.Heartbeat = 0 }},
		{"record_retention ", func(s *Settings) { s.RecordRetention = -1 }},
		{"max_body_bytes ", func(s *Settings) { s.MaxBodyBytes = 0 }},
		{"connections ", func(s *Settings) { s.Connections = 3 }},
		{"drain_timeout ", func(s *Settings) { s.DrainTimeout = 0 }},
		{"log_level ", func(s *Settings) { s.LogLevel = "loud" }},
	}
	for _, c := range cases {
		s := DefaultSettings()
		must.NoError(t, settings.Parse(examplePath, text, &s))
		c.change(&s)
		err := s.Validate()
		must.Eq(t, result.SettingsValue, result.CodeOf(err))
		must.StrContains(t, err.Error(), c.field)
	}
}
