package runner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// Docs/incidents/0023: each dispatcher with a newer policy sent it to the runner, and again after
// each heartbeat that the runner had sent before it came.
func TestRunnerRequestsNewerPolicyFromOneDispatcher(t *testing.T) {
	h := newHost(t, time.Second, nil)
	var dispatchers []*dispatcher
	for i := range 6 {
		dispatchers = append(dispatchers, h.connectAs(fmt.Sprintf("d-%d", i), "1"))
	}
	requests := func() (n int) {
		for _, d := range dispatchers {
			d.mu.Lock()
			n += d.requests
			d.mu.Unlock()
		}
		return n
	}
	must.Eq(t, 0, requests())
	start := time.Now()
	for _, d := range dispatchers {
		d.mu.Lock()
		d.newerRevision = 2
		d.mu.Unlock()
	}
	must.True(t, eventually(func() bool { return requests() == 1 }))
	must.True(t, eventually(func() bool { return requests() == 3 }), must.Sprint("requests without an answer are repeated"))
	must.GreaterEq(t, time.Second, time.Since(start), must.Sprint("one at a time"))
}

// A dispatcher that lacks the store can have a runner's policy.
func TestRunnerSendsItsPolicyOnRequest(t *testing.T) {
	h := newHost(t, time.Second, nil)
	h.connectAs("d-0", "1").sendFrame(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 5, Config: []byte(policyConfig)}})
	d := h.connectAs("d-1", "1")
	sent := func() *pb.Policy {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.policy
	}
	time.Sleep(1200 * time.Millisecond)
	must.Nil(t, sent(), must.Sprint("not requested"))
	d.sendFrame(&pb.DispatcherFrame{WantsPolicy: true})
	must.True(t, eventually(func() bool { return sent().GetRevision() == 5 }))
}
