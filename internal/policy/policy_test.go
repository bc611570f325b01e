package policy

import (
	"testing"

	"github.com/shoenig/test/must"
)

func newSnapshot(revision, version uint64) *Snapshot {
	return &Snapshot{Revision: revision, Config: &Config{Version: version}}
}

func TestHolderRejectsOlderPolicies(t *testing.T) {
	h := NewHolder()
	changed := h.Changed()
	must.True(t, h.Apply(newSnapshot(10, 3)))
	<-changed
	must.False(t, h.Apply(newSnapshot(10, 3)))
	must.False(t, h.Apply(newSnapshot(9, 4)), must.Sprint("an older revision"))
	must.False(t, h.Apply(newSnapshot(12, 2)), must.Sprint("an older version"))
	must.True(t, h.Apply(newSnapshot(12, 3)))
	must.Eq(t, 12, h.Revision())
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c := &Config{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/b/c/"},
	}}
	cases := []struct{ host, path, want string }{
		{"h", "/a/x", "short"}, {"h", "/a/b/c/x", "long"}, {"g", "/a/b/c/x", "other"}, {"h", "/b", ""}, {"x", "/a/x", ""},
	}
	for _, tc := range cases {
		r, found := c.Match(tc.host, tc.path)
		must.Eq(t, tc.want != "", found)
		if found {
			must.Eq(t, tc.want, r.Name)
		}
	}
}

func TestWithEvacuatedLeavesOriginalUnchanged(t *testing.T) {
	s := &Snapshot{}
	out := s.WithEvacuated("b", true).WithEvacuated("a", true).WithEvacuated("b", true)
	must.Eq(t, []string{"a", "b"}, out.Evacuated)
	must.True(t, out.OutOfService("a"))
	back := out.WithEvacuated("a", false).WithEvacuated("c", false)
	must.Eq(t, []string{"b"}, back.Evacuated)
	must.True(t, out.OutOfService("a"), must.Sprint("the original is unchanged"))
}

// A level depends on the order of the priorities only, and is bounded. Levels that
// followed the priorities themselves would make messages grow with the
// configuration.
func TestLevelIsTheRankOfThePriority(t *testing.T) {
	h := NewHolder()
	h.Apply(&Snapshot{Revision: 1, Config: &Config{Routes: []Route{
		{Name: "a", Priority: 7}, {Name: "b", Priority: -3}, {Name: "c", Priority: 7},
		{Name: "d", Priority: 40}, {Name: "e", Priority: 50}, {Name: "f", Priority: 60},
	}}})
	s := h.Current()
	for route, want := range map[string]int{"b": 0, "a": 1, "c": 1, "d": 2, "e": 3, "f": 3, "unknown": 0} {
		must.Eq(t, want, s.Level(route), must.Sprintf("route %s", route))
	}
	must.Eq(t, MaxLevels, s.LevelCount())
	var none *Snapshot
	must.Eq(t, 1, none.LevelCount())
}
