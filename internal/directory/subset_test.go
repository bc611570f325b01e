package directory

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// domainCount is the number of failure domains of the test fleets.
const domainCount = 6

func newNodes(role Role, n int) []Node {
	var all []Node
	for i := range n {
		all = append(all, Node{Name: fmt.Sprintf("%s-z%d-%d", role, i%domainCount, i/domainCount), Role: role, Address: "x", Revision: uint64(i + 1)})
	}
	return all
}

// links returns the dispatchers that are linked to each runner, and the number
// of links of each dispatcher.
func links(dispatchers, runners []Node) (map[string][]string, map[string]int) {
	byRunner, byDispatcher := map[string][]string{}, map[string]int{}
	for _, d := range dispatchers {
		for _, r := range RunnersOf(d.Name, dispatchers, runners) {
			byRunner[r.Name] = append(byRunner[r.Name], d.Name)
			byDispatcher[d.Name]++
		}
	}
	return byRunner, byDispatcher
}

// A fleet of any size has dispatchersPerRunner links a runner, and the
// dispatchers' shares of them differ by a bounded factor.
func TestLinksAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newNodes(Dispatcher, rapid.IntRange(1, 120).Draw(t, "dispatchers"))
		r := newNodes(Runner, rapid.IntRange(len(d)*4, len(d)*4+400).Draw(t, "runners"))
		byRunner, byDispatcher := links(d, r)
		perRunner := min(len(d), dispatchersPerRunner)
		for _, n := range r {
			must.Eq(t, perRunner, len(byRunner[n.Name]))
		}
		mean := float64(len(r)*perRunner) / float64(len(d))
		for _, n := range d {
			must.Between(t, mean*0.4, float64(byDispatcher[n.Name]), mean*1.8)
		}
	})
}

// A fleet as large as the existing deployments of 12 dispatchers or fewer is
// linked completely.
func TestSmallFleetIsLinkedCompletely(t *testing.T) {
	d, r := newNodes(Dispatcher, dispatchersPerRunner), newNodes(Runner, 70)
	for _, n := range d {
		must.Len(t, len(r), RunnersOf(n.Name, d, r))
	}
}

// When a dispatcher leaves, only its links are replaced: each of its runners
// gets one other dispatcher.
func TestLeavingDispatcherMovesOnlyItsLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newNodes(Dispatcher, rapid.IntRange(dispatchersPerRunner+1, 80).Draw(t, "dispatchers"))
		r := newNodes(Runner, 240)
		gone := rapid.IntRange(0, len(d)-1).Draw(t, "gone")
		before, _ := links(d, r)
		after, _ := links(append(append([]Node(nil), d[:gone]...), d[gone+1:]...), r)
		for _, n := range r {
			kept := map[string]bool{}
			for _, name := range after[n.Name] {
				kept[name] = true
			}
			for _, name := range before[n.Name] {
				must.True(t, kept[name] || name == d[gone].Name)
			}
		}
	})
}

// With one failure domain lost, each runner of the others still has
// dispatchers, and each dispatcher has runners in every other domain.
func TestLinksSpanFailureDomains(t *testing.T) {
	d, r := newNodes(Dispatcher, 55), newNodes(Runner, 240)
	byRunner, _ := links(d, r)
	for _, n := range r {
		domains := map[byte]bool{}
		for _, name := range byRunner[n.Name] {
			domains[name[len("dispatcher-z")]] = true
		}
		must.GreaterEq(t, 3, len(domains), must.Sprint(n.Name))
	}
	for _, n := range d {
		domains := map[byte]bool{}
		for _, l := range RunnersOf(n.Name, d, r) {
			domains[l.Name[len("runner-z")]] = true
		}
		must.Eq(t, domainCount, len(domains), must.Sprint(n.Name))
	}
}

// A change must reach every dispatcher over the streams of PeersOf, also when up
// to a third of the dispatchers can't be reached.
func TestPeersReachAllDispatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newNodes(Dispatcher, rapid.IntRange(1, 200).Draw(t, "dispatchers"))
		down := map[string]bool{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 0, len(all)/3).Draw(t, "down") {
			down[all[i].Name] = true
		}
		streams := map[string][]string{}
		var first string
		for _, n := range all {
			peers := PeersOf(n.Name, all)
			must.LessEq(t, 8, len(peers))
			if down[n.Name] {
				continue
			}
			first = n.Name
			for _, p := range peers {
				must.NotEq(t, n.Name, p.Name)
				if !down[p.Name] {
					streams[n.Name] = append(streams[n.Name], p.Name)
					streams[p.Name] = append(streams[p.Name], n.Name)
				}
			}
		}
		must.Eq(t, len(all)-len(down), len(reachable(first, streams)))
	})
}

// reachable returns the nodes that have a path of streams to the first one.
func reachable(first string, streams map[string][]string) map[string]bool {
	reached := map[string]bool{}
	next := []string{first}
	for len(next) > 0 {
		name := next[0]
		next = next[1:]
		if reached[name] {
			continue
		}
		reached[name] = true
		next = append(next, streams[name]...)
	}
	return reached
}
