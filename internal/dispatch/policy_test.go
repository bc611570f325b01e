package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/policy"
)

func newDispatcherNodes(n int) []directory.Node {
	var all []directory.Node
	for i := range n {
		all = append(all, directory.Node{Name: fmt.Sprintf("d-%d", i), Role: directory.Dispatcher, Address: "x:1", Revision: 1})
	}
	return all
}

// linkConnectedRunner links a runner and returns it with an outbox that is not read.
func linkConnectedRunner(d *Dispatcher, name string) *runner {
	r := d.link(directory.Node{Name: name, Role: directory.Runner, Address: "b:1"})
	r.outbox = outbox.New[*pb.DispatcherFrame]()
	return r
}

// Docs/incidents/0023: each heartbeat of a runner that a policy was on its way to had the policy
// sent again, and so did the turns of the other dispatchers.
func TestPolicyIsSentOnRequestOnly(t *testing.T) {
	d, r := newServingDispatcher(t)
	d.policy.Apply(&policy.Snapshot{Revision: 7, Config: &policy.Config{}, Document: []byte("{}")})
	sent := func(f *pb.RunnerFrame) (policies int) {
		d.onFrame(r, r.outbox, f)
		items, _ := r.outbox.TryTakeAll()
		for _, f := range items {
			if f.GetPolicy() != nil {
				must.Eq(t, 7, f.GetPolicy().GetRevision())
				policies++
			}
		}
		return policies
	}
	beat := func(revision uint64) *pb.RunnerBeat {
		return &pb.RunnerBeat{SentNs: int64(clock.SinceBoot()), PolicyRevision: revision}
	}
	must.Eq(t, 0, sent(&pb.RunnerFrame{Beat: beat(0)}), must.Sprint("not requested"))
	must.Eq(t, 0, sent(&pb.RunnerFrame{Beat: beat(6)}), must.Sprint("not requested"))
	must.Eq(t, 1, sent(&pb.RunnerFrame{WantsPolicy: true}))
	must.Eq(t, 0, sent(&pb.RunnerFrame{Beat: beat(6)}), must.Sprint("on its way"))
	must.Eq(t, 0, sent(&pb.RunnerFrame{Beat: beat(7), WantsPolicy: true}), must.Sprint("not newer"))
}

// A dispatcher that doesn't get a newer policy from the store asks one process after the other.
func TestDispatcherRequestsNewerPolicyFromOneProcess(t *testing.T) {
	d, first := newServingDispatcher(t)
	d.policy.Apply(&policy.Snapshot{Revision: 7, Config: &policy.Config{}})
	first.policyRevision = 7
	var runners []*runner
	for i := 1; i <= 20; i++ {
		r := linkConnectedRunner(d, fmt.Sprintf("r-%d", i))
		r.policyRevision = 8
		runners = append(runners, r)
	}
	g := newGossipStream(d, nil, nil)
	g.peerRevision.Store(7)
	d.addGossipStream(g)
	requests := func() (n int) {
		for _, r := range runners {
			items, _ := r.outbox.TryTakeAll()
			n += len(items)
		}
		return n
	}
	now := time.Hour
	d.requestPolicy(now)
	must.Eq(t, 0, requests(), must.Sprint("the store has time to answer"))
	d.requestPolicy(now + storeReadTime)
	d.requestPolicy(now + storeReadTime + tickInterval)
	must.Eq(t, 1, requests())
	must.False(t, g.wantsPolicy.Load())
	g.peerRevision.Store(8)
	d.requestPolicy(now + time.Second)
	must.Eq(t, 0, requests(), must.Sprint("another dispatcher is asked before runners"))
	must.True(t, g.wantsPolicy.Load())
	must.True(t, g.nextFrame().GetWantsPolicy())
}
