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
	"github.com/pomelosill/pomelosill/internal/policy/codec"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	// minRedialDelay and longestRedial bound the time between two attempts to
	// open a stream.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	// handshakeTimeout bounds the opening of a stream.
	handshakeTimeout = 700 * time.Millisecond
	// gossipInterval is the time between two frames between dispatchers.
	gossipInterval = 400 * time.Millisecond
	// gossipTimeout is the silence after which a stream between dispatchers
	// is given up.
	gossipTimeout = 1500 * time.Millisecond
)

var errPeerSilent = result.Errorf(result.PeerSilent, "no frame in time")

// causeOr is why ctx was cancelled, or err.
func causeOr(ctx context.Context, err error) error {
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

// maintainPeerStream keeps a stream to another dispatcher until ctx ends.
func (d *Dispatcher) maintainPeerStream(ctx context.Context, n directory.Node) {
	for ctx.Err() == nil {
		err := d.runPeerStream(ctx, n)
		d.log.Debug("gossip: stream ended", zap.String("peer", n.Name), zap.Error(err))
		clock.Sleep(ctx, maxRedialDelay)
	}
}

func (d *Dispatcher) runPeerStream(ctx context.Context, n directory.Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client, closeClient := newPeerClient(d.network, n.Address)
	defer closeClient()
	st := client.Gossip(ctx)
	g := &gossipStream{dispatcher: d, send: st.Send, receive: st.Receive}
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(g.sendLoop(ctx))
		_ = st.CloseRequest()
	}()
	cancel(g.receiveLoop(ctx, cancel))
	<-written
	_ = st.CloseResponse()
	return context.Cause(ctx)
}

// Gossip implements the PeerService.
func (d *Dispatcher) Gossip(ctx context.Context, st *connect.BidiStream[pb.GossipFrame, pb.GossipFrame]) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g := &gossipStream{dispatcher: d, send: st.Send, receive: st.Receive}
	go func() { cancel(g.receiveLoop(ctx, cancel)) }()
	return g.sendLoop(ctx)
}

// gossipStream is one stream between two dispatchers; both sides do the same.
type gossipStream struct {
	dispatcher *Dispatcher
	send       func(*pb.GossipFrame) error
	receive    func() (*pb.GossipFrame, error)
	// peerRevision is the policy that the peer is known to have.
	peerRevision monotonicRevision
	// sentDirectoryChange is the book's change that the last nodes were sent before.
	sentDirectoryChange <-chan struct{}
}

// sendLoop sends a frame whenever the policy has changed, and every gossipEvery.
// The first frame after a change only names the policy's revision: most peers
// have it from the store by themselves.
func (g *gossipStream) sendLoop(ctx context.Context) error {
	for {
		changed := g.dispatcher.policy.Changed()
		f := g.nextFrame()
		if err := g.send(f); err != nil {
			return err
		}
		pause := gossipInterval
		if f.GetPolicy() == nil && g.peerRevision.behind(f.GetPolicyRevision()) {
			pause = storePropagationDelay
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// nextFrame names the policy's revision, and carries what the peer lacks as far as
// it is known: the policy, and the directory if it has changed.
func (g *gossipStream) nextFrame() *pb.GossipFrame {
	f := &pb.GossipFrame{Dispatcher: g.dispatcher.settings.Name, PolicyRevision: g.dispatcher.policy.Revision(), Load: g.dispatcher.ownLoad()}
	if s := g.dispatcher.policy.Current(); s != nil && g.dispatcher.policy.Age() >= storePropagationDelay && g.peerRevision.advance(s.Revision) {
		f.Policy = codec.Encode(s)
	}
	changed := g.dispatcher.directory.Changed()
	if changed == g.sentDirectoryChange {
		return f
	}
	g.sentDirectoryChange = changed
	for _, role := range []directory.Role{directory.Runner, directory.Dispatcher} {
		for _, n := range g.dispatcher.directory.Nodes(role) {
			f.Nodes = append(f.Nodes, &pb.Node{Name: n.Name, Role: string(n.Role), Address: n.Address, Revision: n.Revision})
		}
	}
	return f
}

func (g *gossipStream) receiveLoop(ctx context.Context, cancel context.CancelCauseFunc) error {
	watchdog := time.AfterFunc(gossipTimeout, func() { cancel(errPeerSilent) })
	defer watchdog.Stop()
	for {
		f, err := g.receive()
		if err != nil {
			return causeOr(ctx, err)
		}
		watchdog.Reset(gossipTimeout)
		g.peerRevision.advance(f.GetPolicyRevision())
		g.dispatcher.recordPeerLoad(f.GetDispatcher(), f.GetLoad())
		codec.Apply(g.dispatcher.policy, f.GetPolicy(), g.dispatcher.log)
		var nodes []directory.Node
		for _, n := range f.GetNodes() {
			nodes = append(nodes, directory.Node{Name: n.GetName(), Role: directory.Role(n.GetRole()), Address: n.GetAddress(), Revision: n.GetRevision()})
		}
		g.dispatcher.directory.Merge(nodes)
	}
}
