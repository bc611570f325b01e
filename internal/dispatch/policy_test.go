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
		all = append(all, directory.Node{Name: fmt.Sprintf("d-%d", i), Role: directory.Dispatcher, Address: "x:1", Revision: 1})
	}
	return all
}

// With 12 dispatchers and 70 runners, a policy of 200 kB sent by every
// dispatcher to every runner would occupy a link of 25 Mbit/s for more than
// four seconds.
func TestPolicyIsSentByOneDispatcherFirst(t *testing.T) {
	all := newDispatcherNodes(12)
	var runners []directory.Node
	for i := range 70 {
		runners = append(runners, directory.Node{Name: fmt.Sprintf("r-%d", i), Role: directory.Runner})
	}
	firstTurns, immediate := map[string]int{}, map[string]int{}
	for _, n := range all {
		for _, l := range directory.LinksOf(n.Name, all, runners) {
			if pushDelay(l.Rank) == 0 {
				immediate[l.Runner.Name]++
				firstTurns[n.Name]++
			}
		}
	}
	for _, n := range runners {
		must.Eq(t, 1, immediate[n.Name])
	}
	for name, count := range firstTurns {
		must.Less(t, 20, count, must.Sprint(name))
	}
}

// A dispatcher that knows no others, or has the last turn, must still send
// soon.
func TestPushDelayIsBounded(t *testing.T) {
	runners := []directory.Node{{Name: "r", Role: directory.Runner}}
	must.Eq(t, []directory.Link{{Runner: runners[0], Rank: 0}}, directory.LinksOf("d-0", nil, runners))
	must.Eq(t, 0, pushDelay(0))
	all := newDispatcherNodes(40)
	for _, n := range all {
		for _, l := range directory.LinksOf(n.Name, all, runners) {
			must.LessEq(t, 500*time.Millisecond, pushDelay(l.Rank))
		}
	}
}

func TestRunnerWithoutPolicyGetsItAtOnce(t *testing.T) {
	d := &Dispatcher{settings: &Settings{Service: settings.Service{Name: "d-0"}}, policy: policy.NewHolder(), directory: directory.NewCache(), log: zap.NewNop()}
	dispatchers := newDispatcherNodes(12)
	d.policy.Apply(&policy.Snapshot{Revision: 7, Config: &policy.Config{}})
	delayed := 0
	for i := range 30 {
		links := directory.LinksOf("d-0", dispatchers, []directory.Node{{Name: fmt.Sprintf("r-%d", i)}})
		r := newRunner(links[0].Runner)
		r.rank = links[0].Rank
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
