package faultinject

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
)

// StoreLoss is an evacuation while all dispatchers lack the store and runners reach it: no run
// may be started in the failure domain after the timeout.
type StoreLoss struct {
	Callers  *caller.Callers
	Checker  *platformtest.Checker
	Operator *platform.Store
	Rand     *rand.Rand
	// Losses make one dispatcher each lose the store, and reach it again.
	Losses []Fault
	// Domain is the failure domain that is taken out of service.
	Domain string
	// Timeout is how long runs may still be started there.
	Timeout time.Duration
}

const (
	// maxLossGap bounds the time between the losses of two dispatchers.
	maxLossGap = 600 * time.Millisecond
	// maxEvacuationDelay bounds the time from the last loss to the evacuation.
	maxEvacuationDelay = 300 * time.Millisecond
	// observedTime is how long starts are watched for after the timeout.
	observedTime = 2500 * time.Millisecond
	// returnTimeout bounds the time until runs are started again in a domain that is back
	// in service.
	returnTimeout = 8 * time.Second
)

// Run plays the evacuation under load and checks the starts.
func (l *StoreLoss) Run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan []*caller.JobResult)
	go func() { results <- l.Callers.SendJobs(ctx, caller.FirstJobNumber) }()
	time.Sleep(time.Second)
	changed := l.Rand.IntN(len(l.Losses) + 1)
	for i, loss := range l.Losses {
		if i == changed {
			l.changeConfig(t)
		}
		loss.Begin()
		time.Sleep(randomDuration(l.Rand, 0, maxLossGap))
	}
	time.Sleep(randomDuration(l.Rand, 0, maxEvacuationDelay))
	key := platform.PrefixEvacuate + l.Domain
	revision, err := l.Operator.CompareAndSwap(t.Context(), key, 0, []byte("{}"), 0)
	must.NoError(t, err)
	l.Checker.ForbidStarts(l.Domain, l.Timeout)
	before := l.Checker.TotalStarts()
	time.Sleep(l.Timeout + observedTime)
	if l.Checker.TotalStarts() == before {
		t.Error("no run was started while the dispatchers lacked the store")
	}
	l.Checker.AllowStarts(l.Domain)
	must.NoError(t, l.Operator.Delete(t.Context(), key, revision))
	for _, loss := range l.Losses {
		loss.End()
	}
	l.requireReturn(t)
	cancel()
	caller.CheckResults(t, l.Checker, <-results)
	for _, v := range l.Checker.Violations() {
		t.Error(v)
	}
}

// changeConfig writes a configuration of a higher version.
func (l *StoreLoss) changeConfig(t *testing.T) {
	current, err := l.Operator.Get(t.Context(), platform.KeyConfig)
	must.NoError(t, err)
	_, err = l.Operator.CompareAndSwap(t.Context(), platform.KeyConfig, current.Revision, caller.ConfigOfVersion(2), 0)
	must.NoError(t, err)
}

// requireReturn waits until runs are started in the domain again.
func (l *StoreLoss) requireReturn(t *testing.T) {
	before := l.Checker.StartsInDomain(l.Domain)
	for end := time.Now().Add(returnTimeout); l.Checker.StartsInDomain(l.Domain) == before; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("no run was started in %s within %s of its return to service", l.Domain, returnTimeout)
			return
		}
	}
}

// Names returns the names of the losses.
func (l *StoreLoss) Names() string {
	names := ""
	for _, loss := range l.Losses {
		names += fmt.Sprintf("%s; ", loss.Name)
	}
	return names
}
