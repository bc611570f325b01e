package dispatch

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/policy/exchange"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	// firstRedial and longestRedial bound the time between two attempts to
	// open a stream.
	firstRedial   = 50 * time.Millisecond
	longestRedial = 400 * time.Millisecond
	// dialLimit bounds the opening of a stream.
	dialLimit = 700 * time.Millisecond
	// gossipEvery is the time between two frames between dispatchers.
	gossipEvery = 400 * time.Millisecond
	// gossipSilent is the silence after which a stream between dispatchers
	// is given up.
	gossipSilent = 1500 * time.Millisecond
)

var errSilent = result.Errorf(result.PeerSilent, "no frame in time")

// firstCause is why ctx was cancelled, or err.
func firstCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// newPeerClient returns a client with a connection of its own: a connection
// that has fallen silent must not be used again.
func newPeerClient(n network.Network, address string) (pomelosillv1connect.PeerServiceClient, func()) {
	c := process.NewStreamClient(n)
	return pomelosillv1connect.NewPeerServiceClient(c, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)), c.CloseIdleConnections
}

// linkPeer keeps a stream to another dispatcher until ctx ends.
func (d *Dispatcher) linkPeer(ctx context.Context, n directory.Node) {
	for ctx.Err() == nil {
		err := d.runGossip(ctx, n)
		d.log.Debug("gossip: stream ended", zap.String("peer", n.Name), zap.Error(err))
		clock.Sleep(ctx, longestRedial)
	}
}

func (d *Dispatcher) runGossip(ctx context.Context, n directory.Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client, closeClient := newPeerClient(d.network, n.Address)
	defer closeClient()
	st := client.Gossip(ctx)
	g := &gossip{d: d, send: st.Send, receive: st.Receive}
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(g.write(ctx))
		_ = st.CloseRequest()
	}()
	cancel(g.read(ctx, cancel))
	<-written
	_ = st.CloseResponse()
	return context.Cause(ctx)
}

// Gossip implements the PeerService.
func (d *Dispatcher) Gossip(ctx context.Context, st *connect.BidiStream[pb.GossipFrame, pb.GossipFrame]) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g := &gossip{d: d, send: st.Send, receive: st.Receive}
	go func() { cancel(g.read(ctx, cancel)) }()
	return g.write(ctx)
}

// gossip is one stream between two dispatchers; both sides do the same.
type gossip struct {
	d       *Dispatcher
	send    func(*pb.GossipFrame) error
	receive func() (*pb.GossipFrame, error)
	// peerRevision is the policy that the peer is known to have.
	peerRevision revision
	// nodesSent is the book's change that the last nodes were sent before.
	nodesSent <-chan struct{}
}

// write sends a frame whenever the policy has changed, and every gossipEvery.
// The first frame after a change only names the policy's revision: most peers
// have it from the store by themselves.
func (g *gossip) write(ctx context.Context) error {
	for {
		changed := g.d.policy.Changed()
		f := g.frame()
		if err := g.send(f); err != nil {
			return err
		}
		pause := gossipEvery
		if f.GetPolicy() == nil && g.peerRevision.behind(f.GetPolicyRevision()) {
			pause = policyHeadStart
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// frame names the policy's revision, and carries what the peer lacks as far as
// it is known: the policy, and the directory if it has changed.
func (g *gossip) frame() *pb.GossipFrame {
	f := &pb.GossipFrame{Dispatcher: g.d.settings.Name, PolicyRevision: g.d.policy.Revision(), Load: g.d.ownLoad()}
	if s := g.d.policy.State(); s != nil && g.d.policy.Age() >= policyHeadStart && g.peerRevision.raise(s.Revision) {
		f.Policy = exchange.Encode(s)
	}
	changed := g.d.book.Changed()
	if changed == g.nodesSent {
		return f
	}
	g.nodesSent = changed
	for _, role := range []directory.Role{directory.Runner, directory.Dispatcher} {
		for _, n := range g.d.book.Nodes(role) {
			f.Nodes = append(f.Nodes, &pb.Node{Name: n.Name, Role: string(n.Role), Address: n.Address, Revision: n.Revision})
		}
	}
	return f
}

func (g *gossip) read(ctx context.Context, cancel context.CancelCauseFunc) error {
	watchdog := time.AfterFunc(gossipSilent, func() { cancel(errSilent) })
	defer watchdog.Stop()
	for {
		f, err := g.receive()
		if err != nil {
			return firstCause(ctx, err)
		}
		watchdog.Reset(gossipSilent)
		g.peerRevision.raise(f.GetPolicyRevision())
		g.d.takeLoad(f.GetDispatcher(), f.GetLoad())
		exchange.Take(g.d.policy, f.GetPolicy(), g.d.log)
		var nodes []directory.Node
		for _, n := range f.GetNodes() {
			nodes = append(nodes, directory.Node{Name: n.GetName(), Role: directory.Role(n.GetRole()), Address: n.GetAddress(), Revision: n.GetRevision()})
		}
		g.d.book.Learn(nodes)
	}
}
