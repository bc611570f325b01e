package dispatch_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/store/wire"
)

// startJob sends a job of two tasks and returns once both run.
func (sys *testSystem) startJob(d *dispatcherProcess, n int) <-chan int {
	answered := make(chan int, 1)
	go func() {
		status, _ := sys.postUntilAccepted(d, "/p/"+jobID(n), fmt.Sprintf(jobTemplate, 2, 5000))
		answered <- status
	}()
	must.True(sys.t, eventually(func() bool { return sys.endpoints[0].Running() == 2 }))
	return answered
}

// A configuration may remove the route of a job that runs. A DELETE for it must stop the job:
// its caller may have no other way to end the work.
func TestJobOnRemovedRouteIsCancelled(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	d := sys.dispatchers[0]
	answered := sys.startJob(d, 1)
	sys.configure(2, "/q/")
	must.True(t, eventually(func() bool { return sys.cancelJob(d, 2) == http.StatusNotFound }))
	must.Eq(t, http.StatusGone, sys.cancelJob(d, 1))
	must.Eq(t, http.StatusConflict, <-answered)
	must.True(t, eventually(func() bool { return sys.endpoints[0].Running() == 0 }))
	must.Eq(t, http.StatusNotFound, sys.cancelJob(d, 1), must.Sprint("no such job and no route"))
}

// The retry of a DELETE may reach another dispatcher than the job's. If that one answered that
// there is no such job without asking, the job would run on, and its later steps be started.
func TestJobOfAnotherDispatcherIsCancelled(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 3, endpoints: 1, runDuration: constantDuration(time.Hour)})
	answered := sys.startJob(sys.dispatchers[0], 1)
	sys.requireCancelled(sys.dispatchers[1], 1)
	must.Eq(t, http.StatusConflict, <-answered)
	must.True(t, eventually(func() bool { return sys.endpoints[0].Running() == 0 }))
	must.Eq(t, http.StatusGone, sys.cancelUntilAcknowledged(sys.dispatchers[1], 1))
	sys.dispatchers[2].stop()
	<-sys.dispatchers[2].done
	must.Eq(t, http.StatusGone, sys.cancelUntilAcknowledged(sys.dispatchers[1], 1), must.Sprint("a dispatcher that has ended has no jobs"))
}

// cancelUntilAcknowledged repeats a cancel while it is answered with 504, as callers do: on a
// busy machine a dispatcher may not answer in time. It returns the last status.
func (sys *testSystem) cancelUntilAcknowledged(d *dispatcherProcess, n int) int {
	var status int
	eventually(func() bool {
		status = sys.cancelJob(d, n)
		return status != http.StatusGatewayTimeout
	})
	return status
}

// requireCancelled cancels a running job. The first cancel must find it, though its answer may
// be lost in a 504; a second one then finds no job.
func (sys *testSystem) requireCancelled(d *dispatcherProcess, n int) {
	sys.t.Helper()
	status := sys.cancelJob(d, n)
	if status == http.StatusGatewayTimeout {
		must.Eq(sys.t, http.StatusGone, sys.cancelUntilAcknowledged(d, n))
		return
	}
	must.Eq(sys.t, http.StatusOK, status)
}

// That a job doesn't exist must not be said while a dispatcher that may have it doesn't
// answer.
func TestUnansweredCancelIsNotAcknowledged(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 2, endpoints: 1, runDuration: constantDuration(time.Hour)})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = silent.Close() }()
	record := fmt.Sprintf(`{"name":"silent","role":"dispatcher","address":"%s"}`, silent.Addr())
	sys.put(directory.DispatcherPrefix+"silent", record)
	must.True(t, eventually(func() bool { return sys.cancelJob(sys.dispatchers[0], 1) == http.StatusGatewayTimeout }))
	// On a busy machine, the dispatcher that has the job may answer late as well.
	n := 1
	must.True(t, eventually(func() bool {
		n++
		answered := sys.startJob(sys.dispatchers[1], n)
		status := sys.cancelJob(sys.dispatchers[0], n)
		must.Eq(t, http.StatusConflict, <-answered)
		return status == http.StatusOK
	}), must.Sprint("another has the job"))
}

// A cancel may overtake its job, whose request a dispatcher that was suspended has not read
// yet. If nobody remembered the cancel, the job would be started after it was acknowledged.
func TestCancelThatOvertakesItsJob(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 2, endpoints: 1, runDuration: constantDuration(time.Hour)})
	must.Eq(t, http.StatusGone, sys.cancelUntilAcknowledged(sys.dispatchers[0], 1))
	for _, d := range sys.dispatchers {
		status, _ := sys.postUntilAccepted(d, "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 5000))
		must.Eq(t, http.StatusConflict, status)
	}
	must.Eq(t, 0, sys.checker.TotalStarts())
}

// A dispatcher that has just registered may have the job, though no watch has told of it yet.
// If only those that are known already were asked, the job would go on.
func TestCancelAsksDispatcherThatHasJustRegistered(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = silent.Close() }()
	must.Eq(t, http.StatusGone, sys.cancelUntilAcknowledged(sys.dispatchers[0], 1))
	sys.store.SetFaults(kvstore.Fault{Kind: kvstore.StaleWatch})
	sys.put(directory.DispatcherPrefix+"silent", fmt.Sprintf(`{"name":"silent","role":"dispatcher","address":"%s"}`, silent.Addr()))
	must.Eq(t, http.StatusGatewayTimeout, sys.cancelJob(sys.dispatchers[0], 2))
}

// While the store can't be asked which dispatchers there are, a cancel of an unknown job must not
// be acknowledged.
func TestCancelIsNotAcknowledgedWithoutTheStore(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	sys.store.SetFaults(kvstore.Fault{Kind: kvstore.Unavailable})
	must.Eq(t, http.StatusGatewayTimeout, sys.cancelJob(sys.dispatchers[0], 1))
	sys.store.SetFaults()
	must.Eq(t, http.StatusGone, sys.cancelUntilAcknowledged(sys.dispatchers[0], 1))
}

// A dispatcher whose record isn't in the store is not asked by the others, so it must not take
// jobs: the record's write may have been refused, or its answer lost.
func TestUnlistedDispatcherTakesNoJobs(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	sys.store.SetFaults(kvstore.Fault{Kind: kvstore.Unavailable, Calls: []wire.Kind{wire.Grant}})
	sys.addDispatcher(1, systemOptions{})
	unlisted := sys.dispatchers[1]
	must.True(t, eventually(func() bool {
		status, _ := sys.post(t.Context(), unlisted, "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 1, 100))
		return status == http.StatusServiceUnavailable && strings.Contains(sys.log.String(), "other dispatchers can't find this one yet")
	}))
	must.False(t, isReady(unlisted))
	must.Eq(t, 0, sys.checker.TotalStarts())
	sys.store.SetFaults()
	sys.waitReady(unlisted)
	answered := sys.startJob(unlisted, 2)
	sys.requireCancelled(sys.dispatchers[0], 2)
	must.Eq(t, http.StatusConflict, <-answered)
}
