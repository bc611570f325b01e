package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

const (
	// receiveTimeout ends a stream whose entry sends nothing.
	receiveTimeout = 5 * time.Second
	// ownerTimeout is the silence after which the owner is looked for anew.
	ownerTimeout = 2 * time.Second
	// minRetryDelay and retryMax bound the random wait between two tries.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// locateTimeout bounds one question for the owner.
	locateTimeout = time.Second
)

// links keeps one stream to the owner and one to the deputy of the cell.
type links struct {
	// attach serves one stream until it ends.
	attach func(ctx context.Context, address string) error
	// assignCell is told the cell before any link of it opens.
	assignCell func(cell uint32)
	log        *zap.Logger
	wg         sync.WaitGroup

	mu       sync.Mutex
	location *pb.Location
	// cancels ends the link to an address.
	cancels map[string]context.CancelFunc
}

// update takes a location, unless a newer one is known, and opens the links
// that it asks for. It tells whether the location was taken.
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

// closeUnwanted ends the links that the location does not ask for, but for the one to
// the address given, whose entry still holds the agent's cell.
func (l *links) closeUnwanted(keep string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	want := targetAddresses(l.location)
	for address, cancel := range l.cancels {
		if address == keep || slices.Contains(want, address) {
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

// maintain attaches to an address again and again.
func (l *links) maintain(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := l.attach(ctx, address)
		if ctx.Err() != nil {
			return
		}
		l.log.Info("stream ended", zap.String("entry", address), zap.Error(err))
		sleepContext(ctx, retryDelay())
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

// targetAddresses lists the addresses to attach to.
func targetAddresses(loc *pb.Location) []string {
	var out []string
	for _, address := range []string{loc.GetOwner(), loc.GetDeputy()} {
		if address != "" && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// locateOwner asks the entries in turn for the owner of the cell whenever there is
// no live stream to one.
func (a *Agent) locateOwner(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		if !a.ownerResponsive() {
			a.requestLocation(ctx, turn)
			turn++
		}
		sleepContext(ctx, retryDelay())
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

func (a *Agent) requestLocation(ctx context.Context, turn int) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	known := a.entryAddresses()
	address := known[turn%len(known)]
	req := connect.NewRequest(&pb.LocateRequest{Endpoint: a.settings.Endpoint})
	a.counters.add(sentLocate, 1)
	resp, err := a.dispatchClient(address).Locate(ctx, req)
	if err != nil {
		a.log.Debug("locate failed", zap.String("entry", address), zap.Error(err))
		return
	}
	a.applyLocation(resp.Msg)
}

// entryAddresses lists the addresses from the settings and from the roster.
func (a *Agent) entryAddresses() []string {
	out := slices.Clone(a.settings.Entries)
	for _, address := range a.links.currentLocation().GetEntries() {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

func (a *Agent) applyLocation(loc *pb.Location) {
	if !a.links.update(a.streamCtx, loc) {
		return
	}
	a.closeUnwantedLinks()
}

// closeUnwantedLinks ends the links that are needed no more.
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

// sleepContext waits for d or for the end of ctx.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
