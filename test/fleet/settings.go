package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// entrySettings holds the settings of an entry that tests set explicitly.
type entrySettings struct {
	Listen        string         `json:"listen"`
	Peer          string         `json:"peer"`
	Admin         string         `json:"admin"`
	FailureDomain string         `json:"failure_domain"`
	Store         string         `json:"store"`
	Cells         int            `json:"cells"`
	DefaultTeams  []teamSettings `json:"default_teams"`
	DrainTimeout  string         `json:"drain_timeout"`
	LogLevel      string         `json:"log_level"`
}

// teamSettings is a team that the first entry creates when the system starts for
// the first time.
type teamSettings struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// agentSettings holds the settings of an agent that tests set explicitly.
type agentSettings struct {
	Endpoint      string   `json:"endpoint"`
	FailureDomain string   `json:"failure_domain"`
	Slots         int      `json:"slots"`
	EndpointURL   string   `json:"endpoint_url"`
	Listen        string   `json:"listen"`
	Entries       []string `json:"entries"`
	LogLevel      string   `json:"log_level"`
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, dir, name string, settings any) string {
	t.Helper()
	text, err := json.MarshalIndent(settings, "", "  ")
	must.NoError(t, err)
	path := filepath.Join(dir, name+".jsonc")
	must.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}
