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
	// minRedialDelay and maxRedialDelay bound the time between two attempts to
	// open a stream.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	// handshakeTimeout bounds the wait for the first frame of a connection.
	handshakeTimeout = 700 * time.Millisecond
	// gossipInterval is the time between two frames between dispatchers.
	gossipInterval = 400 * time.Millisecond
	// gossipTimeout is the time without a frame after which a stream between
	// dispatchers is closed.
	gossipTimeout = 1500 * time.Millisecond
)

var errPeerSilent = result.Errorf(result.PeerSilent, "no frame received within the timeout")

// causeOr returns why ctx was cancelled, or err if it was not.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// newPeerClient returns a client with a connection of its own, so that a new
// stream never uses a connection that has stopped responding. It also returns a
// function that closes the connection.
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
	stream := client.Gossip(ctx)
	g := &gossipStream{dispatcher: d, send: stream.Send, receive: stream.Receive}
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(g.sendLoop(ctx))
		_ = stream.CloseRequest()
	}()
	cancel(g.receiveLoop(ctx, cancel))
	<-written
	_ = stream.CloseResponse()
	return context.Cause(ctx)
}

// Gossip serves a stream that another dispatcher has opened. It implements
// PeerService.
func (d *Dispatcher) Gossip(ctx context.Context, stream *connect.BidiStream[pb.GossipFrame, pb.GossipFrame]) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g := &gossipStream{dispatcher: d, send: stream.Send, receive: stream.Receive}
	go func() { cancel(g.receiveLoop(ctx, cancel)) }()
	return g.sendLoop(ctx)
}

// gossipStream is one stream between two dispatchers; both sides do the same.
type gossipStream struct {
	dispatcher *Dispatcher
	send       func(*pb.GossipFrame) error
	receive    func() (*pb.GossipFrame, error)
	// peerRevision is the newest policy revision that the peer is known to
	// have.
	peerRevision monotonicRevision
	// sentDirectoryChange is the directory's change channel as of the last
	// frame with nodes; another channel means that the directory has changed
	// since.
	sentDirectoryChange <-chan struct{}
}

// sendLoop sends a frame whenever the policy has changed, and every
// gossipInterval. The first frame after a change only holds the policy's
// revision, because most peers read the policy from the store themselves.
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

// nextFrame returns a frame with the policy's revision, the load, and what the
// peer is not known to have: the policy, and the directory if it has changed. A
// dispatcher that starts while the store is unavailable gets both from those
// peers whose directory has its record already: they open streams to it.
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
