// Package storetest is the contract test that every implementation of
// store.Store must pass, with and without faults of the store.
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
	// callTimeout bounds a case, whose calls must get a response.
	callTimeout = 20 * time.Second
	// unansweredTimeout bounds calls that must not get a response.
	unansweredTimeout = 100 * time.Millisecond
	// shortWait is the wait of watches that must not see a change.
	shortWait = 50 * time.Millisecond
	// leaseTTL is measured by the store's clock, which the test advances.
	leaseTTL = 10 * time.Second
)

// Faults injects faults into the store behind the implementation under test.
type Faults interface {
	// Outage makes every call fail without an effect while on.
	Outage(on bool)
	// Delay delays the execution of every call by d; zero ends it.
	Delay(d time.Duration)
	// LoseAnswers executes the next n writes but loses their answers.
	LoseAnswers(n int)
	// StaleWatch hides changes from watches while on.
	StaleWatch(on bool)
	// Advance advances the clock that leases are measured by.
	Advance(d time.Duration)
}

// Open returns a client of a new, empty store and the means to inject faults
// into that store.
type Open func(t *testing.T) (store.Store, Faults)

// testCase is one case of the contract.
type testCase struct {
	name string
	run  func(t *testing.T, f *fixture)
}

// fixture is the store of one case.
type fixture struct {
	store.Store
	Faults
	ctx context.Context
}

// Run runs the contract test; each case gets a new store.
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

// mustHaveValue checks the value of a key.
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
