package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
)

// The teams in the first document must be sorted, whatever their order in the
// settings: in an unsorted list an operator's edit does not find a team and adds it
// a second time.
func TestDefaultTeamsAreFound(t *testing.T) {
	s := DefaultSettings()
	s.DefaultTeams = []TeamSettings{{Name: "radio", Weight: 3}, {Name: "alerts", Weight: 2}}
	c := control.Config{Teams: s.firstTeams()}
	for _, want := range s.DefaultTeams {
		got, ok := c.Team(want.Name)
		must.True(t, ok)
		must.Eq(t, want.Weight, got.Weight)
	}
}
