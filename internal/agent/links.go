package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

const (
	// receiveTimeout is how long a stream stays open without a frame from the
	// entry.
	receiveTimeout = 5 * time.Second
	// ownerTimeout is how long after the last frame from the owner the agent
	// asks for the owner again.
	ownerTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay are the limits of the random delay
	// between two attempts.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// locateTimeout limits one Locate request.
	locateTimeout = time.Second
)

// links keeps one stream open to the owner of the agent's cell and one to its
// deputy, which is the entry that takes the cell over first.
type links struct {
	// attach serves one stream until it ends.
	attach func(ctx context.Context, address string) error
	// assignCell is called with the cell before any link for it is opened.
	assignCell func(cell uint32)
	log        *zap.Logger
	wg         sync.WaitGroup

	mu       sync.Mutex
	location *pb.Location
	// cancels holds the function that ends the link to each address.
	cancels map[string]context.CancelFunc
}

// update applies a location and opens the links for it, unless a newer location
// is known. It reports whether it applied the location.
func (l *links) update(ctx context.Context, loc *pb.Location) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if loc.GetControlRevision() < l.location.GetControlRevision() {
		return false
	}
	if loc.GetCell() != l.location.GetCell() {
		l.cancelAll()
	}
	l.assignCell(loc.GetCell())
	l.location = loc
	for _, address := range targetAddresses(loc) {
		if l.cancels[address] == nil {
			l.open(ctx, address)
		}
	}
	return true
}

// closeUnwanted closes the links that the location does not list, except the
// one to the address keep, whose entry still owns the agent's cell.
func (l *links) closeUnwanted(keep string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	targets := targetAddresses(l.location)
	for address, cancel := range l.cancels {
		if address == keep || slices.Contains(targets, address) {
			continue
		}
		cancel()
		delete(l.cancels, address)
	}
}

func (l *links) cancelAll() {
	for address, cancel := range l.cancels {
		cancel()
		delete(l.cancels, address)
	}
}

func (l *links) open(parent context.Context, address string) {
	ctx, cancel := context.WithCancel(parent)
	l.cancels[address] = cancel
	l.wg.Go(func() {
		defer cancel()
		l.maintain(ctx, address)
	})
}

// maintain attaches to an address again whenever the stream ends.
func (l *links) maintain(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := l.attach(ctx, address)
		if ctx.Err() != nil {
			return
		}
		l.log.Info("stream to the entry ended", zap.String("entry", address), zap.Error(err))
		clock.Sleep(ctx, retryDelay())
	}
}

func (l *links) wait() { l.wg.Wait() }

func (l *links) cell() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.location.GetCell()
}

func (l *links) currentLocation() *pb.Location {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.location
}

// targetAddresses returns the addresses of the owner and the deputy.
func targetAddresses(loc *pb.Location) []string {
	var addresses []string
	for _, address := range []string{loc.GetOwner(), loc.GetDeputy()} {
		if address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// locateOwner asks the entries in turn for the owner of the cell while no owner
// is responding.
func (a *Agent) locateOwner(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; {
		if !a.ownerResponsive() {
			a.requestLocation(ctx, attempt)
			attempt++
		}
		clock.Sleep(ctx, retryDelay())
	}
}

func (a *Agent) ownerResponsive() bool {
	now := a.now()
	owner := a.links.currentLocation().GetOwner()
	fenced := a.delivery.ownerStream()
	return slices.ContainsFunc(a.streams.list(), func(st *stream) bool {
		isOwner := st == fenced || st.address == owner
		return isOwner && st.sinceReceived(now) < ownerTimeout
	})
}

func (a *Agent) requestLocation(ctx context.Context, attempt int) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	addresses := a.entryAddresses()
	address := addresses[attempt%len(addresses)]
	req := connect.NewRequest(&pb.LocateRequest{Endpoint: a.settings.Endpoint})
	a.counters.add(sentLocate, 1)
	resp, err := a.dispatchClient(address).Locate(ctx, req)
	if err != nil {
		a.log.Debug("failed to ask an entry for the owner of the cell", zap.String("entry", address), zap.Error(err))
		return
	}
	a.applyLocation(resp.Msg)
}

// entryAddresses returns the entries' addresses from the settings and from the
// location.
func (a *Agent) entryAddresses() []string {
	addresses := slices.Clone(a.settings.Entries)
	for _, address := range a.links.currentLocation().GetEntries() {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (a *Agent) applyLocation(loc *pb.Location) {
	if !a.links.update(a.streamCtx, loc) {
		return
	}
	a.closeUnwantedLinks()
}

// closeUnwantedLinks closes the links that are no longer needed.
func (a *Agent) closeUnwantedLinks() {
	keep := ""
	if st := a.delivery.ownerStream(); st != nil {
		keep = st.address
	}
	a.links.closeUnwanted(keep)
}

func retryDelay() time.Duration {
	return minRetryDelay + rand.N(maxRetryDelay-minRetryDelay)
}
