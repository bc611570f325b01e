package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
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
	// maxPeerMessageBytes bounds a message from another dispatcher, which is held in memory
	// before it is decoded. The largest are the records of a whole directory of 11,000
	// processes, 200 bytes each, and a policy of up to a megabyte.
	maxPeerMessageBytes = 8 << 20
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
	return newPeerServiceClient(c, address), c.CloseIdleConnections
}

// newPeerServiceClient returns a client that uses the connections of c.
func newPeerServiceClient(c *http.Client, address string) pomelosillv1connect.PeerServiceClient {
	return pomelosillv1connect.NewPeerServiceClient(c, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxPeerMessageBytes))
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
	g := newGossipStream(d, stream.Send, stream.Receive)
	d.addGossipStream(g)
	defer d.removeGossipStream(g)
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
	// The caller has this dispatcher in its directory.
	d.listing.confirm()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g := newGossipStream(d, stream.Send, stream.Receive)
	d.addGossipStream(g)
	defer d.removeGossipStream(g)
	go func() { cancel(g.receiveLoop(ctx, cancel)) }()
	return g.sendLoop(ctx)
}

func (d *Dispatcher) addGossipStream(g *gossipStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gossipStreams[g] = true
}

func (d *Dispatcher) removeGossipStream(g *gossipStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.gossipStreams, g)
}

// gossipStream is one stream between two dispatchers; both sides do the same.
type gossipStream struct {
	dispatcher *Dispatcher
	send       func(*pb.GossipFrame) error
	receive    func() (*pb.GossipFrame, error)
	// peerRevision is the policy revision in the peer's last frame.
	peerRevision atomic.Uint64
	// peerDigest is the directory digest in the peer's last frame, zero before
	// its first.
	peerDigest atomic.Uint64
	// wantsPolicy is set when the peer is to be asked for its policy, peerWantsPolicy when it
	// has asked for this dispatcher's.
	wantsPolicy, peerWantsPolicy atomic.Bool
	// woken receives a value after each of the peer's frames, and when the peer is to be
	// asked.
	woken chan struct{}
	// sentVersion is the version of the directory up to which the peer has the
	// records or has been sent them.
	sentVersion uint64
	// sentCrashes is the version of the log of crashes up to which the peer has
	// been sent the reports.
	sentCrashes uint64
}

func newGossipStream(d *Dispatcher, send func(*pb.GossipFrame) error, receive func() (*pb.GossipFrame, error)) *gossipStream {
	return &gossipStream{dispatcher: d, send: send, receive: receive, woken: make(chan struct{}, 1)}
}

// sendLoop sends a frame whenever the policy has changed, whenever one of the two asks for
// the other's policy, whenever the peer turns out to have another directory, whenever an
// endpoint has crashed, and every gossipInterval.
func (g *gossipStream) sendLoop(ctx context.Context) error {
	for {
		changed, crashed := g.dispatcher.policy.Changed(), g.dispatcher.crashes.Changed()
		f := g.nextFrame()
		if err := g.send(f); err != nil {
			return err
		}
		if err := g.waitUntilDue(ctx, changed, crashed); err != nil {
			return err
		}
	}
}

// waitUntilDue waits until the next frame is due.
func (g *gossipStream) waitUntilDue(ctx context.Context, policyChanged, crashed <-chan struct{}) error {
	timer := time.NewTimer(gossipInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-policyChanged:
			return nil
		case <-crashed:
			return nil
		case <-timer.C:
			return nil
		case <-g.woken:
			if g.wantsPolicy.Load() || g.peerWantsPolicy.Load() || (g.sentVersion == 0 && g.directoryDiffers()) {
				return nil
			}
		}
	}
}

// directoryDiffers reports whether the peer is known to have another directory.
func (g *gossipStream) directoryDiffers() bool {
	digest, _ := g.dispatcher.directory.Summary()
	peer := g.peerDigest.Load()
	return peer != 0 && peer != digest
}

// wake makes sendLoop check whether a frame is due.
func (g *gossipStream) wake() {
	select {
	case g.woken <- struct{}{}:
	default:
	}
}

// RequestPolicy implements policy.Source.
func (g *gossipStream) RequestPolicy() {
	g.wantsPolicy.Store(true)
	g.wake()
}

// nextFrame returns a frame with the policy's revision and the directory's digest. It has the
// policy if the peer has asked for it, and the records that have changed since they were last
// sent if the peer isn't known to have them. A dispatcher that starts while the store is
// unavailable gets both from those peers whose directory has its record already: they open
// streams to it.
func (g *gossipStream) nextFrame() *pb.GossipFrame {
	d := g.dispatcher
	digest, version := d.directory.Summary()
	f := &pb.GossipFrame{Dispatcher: d.settings.Name, PolicyRevision: d.policy.Revision(), DirectoryDigest: digest}
	d.mu.Lock()
	f.LagUs, f.Load = d.ownReport(clock.SinceBoot())
	d.mu.Unlock()
	f.Crashes, g.sentCrashes = d.encodeCrashes(g.sentCrashes)
	f.WantsPolicy = g.wantsPolicy.Swap(false)
	if s := d.policy.Current(); g.peerWantsPolicy.Swap(false) && s != nil && s.Revision > g.peerRevision.Load() {
		f.Policy = codec.Encode(s)
	}
	switch g.peerDigest.Load() {
	case 0:
		return f
	case digest:
		g.sentVersion = version
		return f
	}
	nodes, version := d.directory.ChangedSince(g.sentVersion)
	g.sentVersion = version
	for _, n := range nodes {
		f.Nodes = append(f.Nodes, &pb.Node{Name: n.Name, Role: string(n.Role), Address: n.Address, Revision: n.Revision})
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
		g.handleFrame(f)
	}
}

// handleFrame applies the peer's frame.
func (g *gossipStream) handleFrame(f *pb.GossipFrame) {
	g.peerRevision.Store(f.GetPolicyRevision())
	codec.Apply(g.dispatcher.policy, f.GetPolicy(), g.dispatcher.log)
	var nodes []directory.Node
	for _, n := range f.GetNodes() {
		nodes = append(nodes, directory.Node{Name: n.GetName(), Role: directory.Role(n.GetRole()), Address: n.GetAddress(), Revision: n.GetRevision()})
	}
	g.dispatcher.directory.Merge(nodes)
	if f.GetWantsPolicy() {
		g.peerWantsPolicy.Store(true)
	}
	g.dispatcher.mu.Lock()
	now := clock.SinceBoot()
	if f.GetPolicyRevision() > g.dispatcher.policy.Revision() {
		g.dispatcher.requestPolicy(now)
	}
	g.dispatcher.reportPeer(f.GetDispatcher(), f.GetLagUs(), f.GetLoad(), now)
	if len(f.GetCrashes()) > 0 {
		g.dispatcher.applyCrashes(f.GetCrashes(), now)
	}
	g.dispatcher.mu.Unlock()
	g.peerDigest.Store(f.GetDirectoryDigest())
	g.wake()
}
