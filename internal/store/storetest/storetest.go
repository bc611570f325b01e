// Package storetest is the contract that every adapter of the store must
// pass, with its fault cases in tables.
package storetest

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

const (
	// callTimeout bounds calls that must answer.
	callTimeout = 20 * time.Second
	// unansweredTimeout bounds calls that must not get an answer.
	unansweredTimeout = 100 * time.Millisecond
	// shortWait is the wait of watches that see no change.
	shortWait = 50 * time.Millisecond
	// leaseTTL is measured by the store's clock, which the test moves.
	leaseTTL = 10 * time.Second
)

// Faults injects faults into the store behind the adapter under test.
type Faults interface {
	// Outage lets every call fail without an effect while on.
	Outage(on bool)
	// Delay executes every call that much later; zero ends it.
	Delay(d time.Duration)
	// LoseAnswers executes that many further writes and loses their answers.
	LoseAnswers(n int)
	// StaleWatch keeps changes from watches while on.
	StaleWatch(on bool)
	// Advance moves the clock that leases are measured by.
	Advance(d time.Duration)
}

// Open returns an adapter to a new, empty store and the faults of that store.
type Open func(t *testing.T) (store.Store, Faults)

// testCase is one line of a table.
type testCase struct {
	name string
	run  func(t *testing.T, f *fixture)
}

// fixture is what a case works on.
type fixture struct {
	store.Store
	Faults
	ctx context.Context
}

// Run runs the whole contract; each case gets a store of its own.
func Run(t *testing.T, open Open) {
	t.Helper()
	for _, c := range append(basicCases(), faultCases()...) {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			s, faults := open(t)
			c.run(t, &fixture{Store: s, Faults: faults, ctx: ctx})
		})
	}
}

// put writes a key and returns its revision.
func (f *fixture) put(t *testing.T, key string, expect uint64, value string) uint64 {
	t.Helper()
	rev, err := f.CompareAndSwap(f.ctx, key, expect, []byte(value), 0)
	must.NoError(t, err)
	return rev
}

// mustHaveValue checks a key's value.
func (f *fixture) mustHaveValue(t *testing.T, key, value string) {
	t.Helper()
	e, err := f.Get(f.ctx, key)
	must.NoError(t, err)
	must.Eq(t, value, string(e.Value))
}

// mustCode checks the result code of an error.
func mustCode(t *testing.T, want result.Code, err error) {
	t.Helper()
	must.Eq(t, want, result.CodeOf(err), must.Sprintf("%v", err))
}
