package room

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestOneJobsFailuresAreItsOwn(t *testing.T) {
	h := NewHealth()
	for range 10 {
		must.False(t, h.Failed("poisoned", 5*ms))
	}
	must.False(t, h.Resting(5*ms))
}

func TestSeveralJobsFailuresAreTheEndpoints(t *testing.T) {
	h := NewHealth()
	must.False(t, h.Failed("a", 5*ms))
	must.False(t, h.Failed("b", 5*ms))
	must.True(t, h.Failed("c", 5*ms))
	must.True(t, h.Resting(5*ms+firstRest/2))
	must.False(t, h.Resting(5*ms+firstRest))
	must.Eq(t, trialRuns, h.MaxRuns())
}

func TestSuccessForgetsFailures(t *testing.T) {
	h := NewHealth()
	h.Failed("a", 1*ms)
	h.Failed("b", 1*ms)
	h.Done()
	must.False(t, h.Failed("c", 2*ms))
}

func TestFailedTrialRestsLonger(t *testing.T) {
	h := NewHealth()
	must.True(t, h.Slow(0))
	must.True(t, h.Failed("d", firstRest))
	must.True(t, h.Resting(firstRest+2*firstRest-ms))
	must.False(t, h.Resting(firstRest+2*firstRest))
	h.Done()
	must.Eq(t, 0, h.MaxRuns())
	must.True(t, h.Slow(10*firstRest))
	must.False(t, h.Resting(11*firstRest), must.Sprint("a success begins the rests anew"))
}
