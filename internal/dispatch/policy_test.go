package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/directory"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/settings"
)

func newDispatcherNodes(n int) []directory.Node {
	var all []directory.Node
	for i := range n {
		all = append(all, directory.Node{Name: fmt.Sprintf("d-%d", i), Role: directory.Dispatcher, Address: "x", Revision: 1})
	}
	return all
}

// With 12 dispatchers and 70 runners, a policy of 200 kB sent by every
// dispatcher to every runner would occupy a link of 25 Mbit/s for more than
// four seconds.
func TestPolicyIsSentByOneDispatcherFirst(t *testing.T) {
	all := newDispatcherNodes(12)
	firstTurns := map[string]int{}
	for i := range 70 {
		immediate := 0
		for _, n := range all {
			if pushDelay(n.Name, fmt.Sprintf("r-%d", i), all) == 0 {
				immediate++
				firstTurns[n.Name]++
			}
		}
		must.Eq(t, 1, immediate)
	}
	for name, runners := range firstTurns {
		must.Less(t, 20, runners, must.Sprint(name))
	}
}

// A dispatcher that knows no others, or has the last turn, must still send
// soon.
func TestPushDelayIsBounded(t *testing.T) {
	must.Eq(t, 0, pushDelay("d-0", "r", nil))
	all := newDispatcherNodes(40)
	for _, n := range all {
		must.LessEq(t, 500*time.Millisecond, pushDelay(n.Name, "r", all))
	}
}

func TestRunnerWithoutPolicyGetsItAtOnce(t *testing.T) {
	d := &Dispatcher{settings: &Settings{Service: settings.Service{Name: "d-0"}}, policy: policy.NewHolder(), directory: directory.NewCache(), log: zap.NewNop()}
	d.directory.Merge(newDispatcherNodes(12))
	d.policy.Apply(&policy.Snapshot{Revision: 7, Config: &policy.Config{}})
	delayed := 0
	for i := range 30 {
		r := newRunner(directory.Node{Name: fmt.Sprintf("r-%d", i)})
		must.NotNil(t, d.policyFor(r))
		must.Eq(t, 7, r.policyRevision)
		must.Nil(t, d.policyFor(r))
		r.policyRevision = 6
		if d.policyFor(r) == nil {
			delayed++
		}
	}
	must.Greater(t, 15, delayed)
}
