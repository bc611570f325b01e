package settings

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
)

func TestServiceSettingsAreChecked(t *testing.T) {
	cases := []struct {
		name, want string
		change     func(s *Service)
	}{
		{"complete", "", func(*Service) {}},
		{"no name", "name: must be given", func(s *Service) { s.Name = "" }},
		{"no store", "store: must be given", func(s *Service) { s.Store = "" }},
		{"short lease", "lease_max: must be at least 300ms", func(s *Service) { s.LeaseMax = Duration(299 * time.Millisecond) }},
		{"minimum lease", "", func(s *Service) { s.LeaseMax = Duration(300 * time.Millisecond) }},
		{"short grace", "grace: must be at least 1s", func(s *Service) { s.Grace = Duration(time.Millisecond) }},
	}
	for _, c := range cases {
		s := DefaultService()
		s.Name, s.Store = "n", "s"
		c.change(&s)
		err := s.Check(300*time.Millisecond, time.Second, RequiredField{Field: "listen", Value: "l"})
		if c.want == "" {
			must.NoError(t, err, must.Sprint(c.name))
			continue
		}
		must.Eq(t, result.SettingsValue, result.CodeOf(err), must.Sprint(c.name))
		must.StrContains(t, err.Error(), c.want)
	}
	complete := DefaultService()
	complete.Name, complete.Store = "n", "s"
	must.StrContains(t, complete.Check(0, 0, RequiredField{Field: "listen"}).Error(), "listen: must be given")
}
