package dispatch

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/crash"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/settings"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// newTestDispatcher returns a dispatcher without connections.
func newTestDispatcher(name string) *Dispatcher {
	return &Dispatcher{
		settings: &Settings{Service: settings.Service{Name: name}}, policy: policy.NewHolder(),
		directory: directory.NewCache(), crashes: crash.NewLog(), log: zap.NewNop(), runners: map[string]*runner{},
	}
}

// When dispatchers are added, a runner may be assigned to others. The runs that
// it has must neither be stopped nor be started elsewhere.
func TestRunnerAssignedElsewhereKeepsItsRuns(t *testing.T) {
	const now = lastFrameTime
	d := newTestDispatcher("d-0")
	node := directory.Node{Name: "r", Role: directory.Runner, Address: "a:1"}
	r := d.link(node)
	*r = *newConnectedRunner()
	r.node = node
	run := workload.RunID{Task: "t", Attempt: 1}
	r.runs[run] = &task{}
	must.True(t, r.usable(now))
	must.False(t, d.unlink(node), must.Sprint("a run is left"))
	must.False(t, r.usable(now), must.Sprint("it gets no more work"))
	must.True(t, d.link(node) == r && r.usable(now), must.Sprint("assigned again"))
	must.False(t, d.unlink(node))
	delete(r.runs, run)
	must.True(t, d.unlink(node))
	must.MapEmpty(t, d.runners)
}

// unreachable is a network without any other host.
type unreachable struct{}

func (unreachable) Dial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }

func (unreachable) Listen(context.Context, string) (net.Listener, error) { return nil, net.ErrClosed }

// A runner whose assignment comes back before its runs have ended must get work
// again on the connection that was kept.
func TestRunnerAssignedAgainGetsWork(t *testing.T) {
	d := newTestDispatcher("d-0")
	d.network = unreachable{}
	node := directory.Node{Name: "r", Role: directory.Runner, Address: "a:1"}
	wanted := &wantedConnections{runners: []directory.Node{node}}
	connections := map[directory.Node]context.CancelFunc{}
	must.True(t, d.updateConnections(t.Context(), connections, wanted))
	r := d.runners["r"]
	r.runs[workload.RunID{Task: "t", Attempt: 1}] = &task{}
	must.False(t, d.updateConnections(t.Context(), connections, &wantedConnections{}))
	must.True(t, r.unlinked)
	must.True(t, d.updateConnections(t.Context(), connections, wanted))
	must.False(t, r.unlinked)
	must.MapLen(t, 1, connections)
	clear(r.runs)
	must.True(t, d.updateConnections(t.Context(), connections, &wantedConnections{}))
	must.MapEmpty(t, connections)
}

// A runner that has moved to another address must not lose its new connection
// when the old one is closed.
func TestMovedRunnerStaysLinked(t *testing.T) {
	d := newTestDispatcher("d-0")
	old := directory.Node{Name: "r", Role: directory.Runner, Address: "a:1"}
	moved := directory.Node{Name: "r", Role: directory.Runner, Address: "b:1"}
	d.link(old)
	r := d.link(moved)
	must.True(t, d.unlink(old))
	must.True(t, d.runners["r"] == r && !r.unlinked)
}

// exchange lets both sides of a stream send frames to each other until neither
// sends records, and returns the number of records sent.
func exchange(a, b *gossipStream) int {
	records := 0
	for round := 0; ; round++ {
		fromA, fromB := a.nextFrame(), b.nextFrame()
		b.handleFrame(fromA)
		a.handleFrame(fromB)
		n := len(fromA.GetNodes()) + len(fromB.GetNodes())
		records += n
		if round > 0 && n == 0 {
			return records
		}
	}
}

func newTestStreams(a, b *Dispatcher) (*gossipStream, *gossipStream) {
	return newGossipStream(a, func(*pb.GossipFrame) error { return nil }, nil), newGossipStream(b, func(*pb.GossipFrame) error { return nil }, nil)
}

// With hundreds of hosts, sending the whole directory at each change would fill
// a slow host's network. Equal directories must cost no records, and a new record
// must be sent once.
func TestGossipSendsOnlyMissingRecords(t *testing.T) {
	a, b := newTestDispatcher("d-0"), newTestDispatcher("d-1")
	all := newDispatcherNodes(40)
	a.directory.Merge(all)
	b.directory.Merge(all)
	atA, atB := newTestStreams(a, b)
	must.Eq(t, 0, exchange(atA, atB), must.Sprint("the directories are equal"))

	a.directory.Merge([]directory.Node{{Name: "d-new", Role: directory.Dispatcher, Address: "x:1", Revision: 2}})
	must.Between(t, 1, exchange(atA, atB), 2, must.Sprint("the other records are not sent"))
	must.Len(t, 41, b.directory.Nodes(directory.Dispatcher))
}

// A dispatcher that starts while the store is unavailable knows nobody.
func TestGossipFillsEmptyDirectory(t *testing.T) {
	a, b := newTestDispatcher("d-0"), newTestDispatcher("d-1")
	a.directory.Merge(newDispatcherNodes(40))
	atA, atB := newTestStreams(a, b)
	exchange(atA, atB)
	must.Len(t, 40, b.directory.Nodes(directory.Dispatcher))
}
