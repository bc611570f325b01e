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
	// maxSilence ends a stream whose entry sends nothing.
	maxSilence = 5 * time.Second
	// ownerSilence is the silence after which the owner is looked for anew.
	ownerSilence = 2 * time.Second
	// retryMin and retryMax bound the random wait between two tries.
	retryMin = 200 * time.Millisecond
	retryMax = time.Second
	// locateTimeout bounds one question for the owner.
	locateTimeout = time.Second
)

// links keeps one stream to the owner and one to the deputy of the cell.
type links struct {
	// attach serves one stream until it ends.
	attach func(ctx context.Context, address string) error
	// assign is told the cell before any link of it opens.
	assign func(cell uint32)
	log    *zap.Logger
	wg     sync.WaitGroup

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
	l.assign(loc.GetCell())
	l.location = loc
	for _, address := range wanted(loc) {
		if l.cancels[address] == nil {
			l.open(ctx, address)
		}
	}
	return true
}

// prune ends the links that the location does not ask for, but for the one to
// the address given, whose entry still holds the agent's cell.
func (l *links) prune(keep string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	want := wanted(l.location)
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
		l.keep(ctx, address)
	})
}

// keep attaches to an address again and again.
func (l *links) keep(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := l.attach(ctx, address)
		if ctx.Err() != nil {
			return
		}
		l.log.Info("stream ended", zap.String("entry", address), zap.Error(err))
		pause(ctx, retryWait())
	}
}

func (l *links) wait() { l.wg.Wait() }

func (l *links) cell() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.location.GetCell()
}

func (l *links) current() *pb.Location {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.location
}

// wanted lists the addresses to attach to.
func wanted(loc *pb.Location) []string {
	var out []string
	for _, address := range []string{loc.GetOwner(), loc.GetDeputy()} {
		if address != "" && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// locate asks the entries in turn for the owner of the cell whenever there is
// no live stream to one.
func (a *Agent) locate(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		if !a.ownerLives() {
			a.askLocation(ctx, turn)
			turn++
		}
		pause(ctx, retryWait())
	}
}

func (a *Agent) ownerLives() bool {
	now := a.now()
	owner := a.links.current().GetOwner()
	fenced := a.delivery.current()
	return slices.ContainsFunc(a.streams.list(), func(st *stream) bool {
		isOwner := st == fenced || st.address == owner
		return isOwner && st.silence(now) < ownerSilence
	})
}

func (a *Agent) askLocation(ctx context.Context, turn int) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	known := a.entries()
	address := known[turn%len(known)]
	req := connect.NewRequest(&pb.LocateRequest{Endpoint: a.settings.Endpoint})
	a.counters.add(sentLocate, 1)
	resp, err := a.client(address).Locate(ctx, req)
	if err != nil {
		a.log.Debug("locate failed", zap.String("entry", address), zap.Error(err))
		return
	}
	a.takeLocation(resp.Msg)
}

// entries lists the addresses from the settings and from the roster.
func (a *Agent) entries() []string {
	out := slices.Clone(a.settings.Entries)
	for _, address := range a.links.current().GetEntries() {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

func (a *Agent) takeLocation(loc *pb.Location) {
	if !a.links.update(a.streamContext, loc) {
		return
	}
	a.prune()
}

// prune ends the links that are needed no more.
func (a *Agent) prune() {
	keep := ""
	if st := a.delivery.current(); st != nil {
		keep = st.address
	}
	a.links.prune(keep)
}

func retryWait() time.Duration {
	return retryMin + rand.N(retryMax-retryMin)
}

// pause waits for d or for the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
