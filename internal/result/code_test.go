package result

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTableIsSortedAndUnique(t *testing.T) {
	names := map[string]bool{}
	last := -1
	for _, in := range Table() {
		must.Greater(t, last, int(in.Code))
		must.False(t, names[in.Name])
		must.NotEq(t, "", in.Text)
		names[in.Name] = true
		last = int(in.Code)
	}
}

func TestUnknownCodeDoesNotPromiseNotRun(t *testing.T) {
	must.Eq(t, EffectMayHaveRun, Describe(9999).Effect)
	must.False(t, Code(9999).NotRun())
	must.True(t, OverQuota.NotRun())
}
