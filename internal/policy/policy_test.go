package policy

import (
	"testing"

	"github.com/shoenig/test/must"
)

func state(revision, version uint64) *State {
	return &State{Revision: revision, Config: &Config{Version: version}}
}

func TestBoardNeverGoesBack(t *testing.T) {
	b := NewBoard()
	changed := b.Changed()
	must.True(t, b.Apply(state(10, 3)))
	<-changed
	must.False(t, b.Apply(state(10, 3)))
	must.False(t, b.Apply(state(9, 4)), must.Sprint("an older revision"))
	must.False(t, b.Apply(state(12, 2)), must.Sprint("an older version"))
	must.True(t, b.Apply(state(12, 3)))
	must.Eq(t, 12, b.Revision())
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

func TestEvacuationIsEditedInACopy(t *testing.T) {
	s := &State{}
	out := s.With("b", true).With("a", true).With("b", true)
	must.Eq(t, []string{"a", "b"}, out.Evacuated)
	must.True(t, out.OutOfService("a"))
	back := out.With("a", false).With("c", false)
	must.Eq(t, []string{"b"}, back.Evacuated)
	must.True(t, out.OutOfService("a"), must.Sprint("the former state is unchanged"))
}
