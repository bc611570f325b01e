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
	c := &Config{Routes: []Route{{Priority: 7}, {Priority: -3}, {Priority: 7}, {Priority: 40}, {Priority: 50}, {Priority: 60}}}
	for priority, want := range map[int]int{-3: 0, 7: 1, 40: 2, 50: 3, 60: 3} {
		must.Eq(t, want, c.Level(priority), must.Sprintf("priority %d", priority))
	}
	must.Eq(t, MaxLevels, c.Levels())
	must.Eq(t, 1, (&Config{Routes: []Route{{Priority: 2}, {Priority: 2}}}).Levels())
}
