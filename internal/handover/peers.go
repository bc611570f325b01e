package handover

import "time"

const (
	// reportLifetime is how long a peer's reported lag and load are used.
	reportLifetime = 2 * time.Second
	// exclusionTime is how long a peer gets no jobs after it has declined one, failed, or
	// reported a lag at which it is starved.
	exclusionTime = time.Second
	// maxScan bounds the peers that are looked at for one candidate, so that the cost of a
	// decision doesn't grow with the fleet.
	maxScan = 16
)

// Peer is what is known of another dispatcher.
type Peer struct {
	Lag time.Duration
	// Load is the work that recently arrived there, in thousandths of a core.
	Load float64
	// ReportedAt is when both were reported, and Reported whether they were.
	ReportedAt    time.Duration
	Reported      bool
	excludedUntil time.Duration
}

// current returns the reported lag and load, or zero if they are unknown.
func (p *Peer) current(now time.Duration) (time.Duration, float64) {
	if p == nil || !p.Reported || now-p.ReportedAt > reportLifetime {
		return 0, 0
	}
	return p.Lag, p.Load
}

// Peers holds what is known of other dispatchers. Its zero value is empty.
type Peers struct{ byName map[string]*Peer }

// Report records a peer's lag and load as they are in a message. A peer that is starved
// with jobs of the given low slack is excluded.
func (p *Peers) Report(name string, lagMicroseconds int64, load float64, lowSlack, now time.Duration) {
	peer := p.get(name, now)
	peer.Lag, peer.Load = DecodeLag(lagMicroseconds), decodeLoad(load)
	peer.ReportedAt, peer.Reported = now, true
	if peer.Lag > maxLag(lowSlack) {
		peer.excludedUntil = now + exclusionTime
	}
}

// Exclude excludes a peer that has declined a job or failed.
func (p *Peers) Exclude(name string, now time.Duration) {
	p.get(name, now).excludedUntil = now + exclusionTime
}

// Known returns the peers by name, without those of which nothing is known any more.
func (p *Peers) Known(now time.Duration) map[string]Peer {
	p.evict(now)
	known := make(map[string]Peer, len(p.byName))
	for name, peer := range p.byName {
		known[name] = *peer
	}
	return known
}

func (p *Peers) get(name string, now time.Duration) *Peer {
	peer := p.byName[name]
	if peer == nil {
		p.evict(now)
		if p.byName == nil {
			p.byName = map[string]*Peer{}
		}
		peer = &Peer{}
		p.byName[name] = peer
	}
	return peer
}

// evict removes the peers of which nothing is known any more.
func (p *Peers) evict(now time.Duration) {
	for name, peer := range p.byName {
		if now >= peer.excludedUntil && (!peer.Reported || now-peer.ReportedAt > reportLifetime) {
			delete(p.byName, name)
		}
	}
}

// Choose returns the index of the peer to which a job is forwarded, among the names of
// all other dispatchers, or -1 if there is none. Of two random peers, it is the one with
// the lower lag, and at equal lag the one with the lower load. It addresses several
// starved dispatchers that forward at once: if all chose the best peer that they know of, it
// would be starved next. random returns a number below its argument.
func (p *Peers) Choose(names []string, now time.Duration, random func(int) int) int {
	first := p.candidate(names, -1, now, random)
	if first < 0 {
		return -1
	}
	second := p.candidate(names, first, now, random)
	if second < 0 {
		return first
	}
	firstLag, firstLoad := p.byName[names[first]].current(now)
	secondLag, secondLoad := p.byName[names[second]].current(now)
	if secondLag < firstLag || (secondLag == firstLag && secondLoad < firstLoad) {
		return second
	}
	return first
}

// candidate returns the index of a peer that isn't excluded and isn't other, or -1. The
// search begins at a random name.
func (p *Peers) candidate(names []string, other int, now time.Duration, random func(int) int) int {
	if len(names) == 0 {
		return -1
	}
	begin := random(len(names))
	for i := range min(len(names), maxScan) {
		at := (begin + i) % len(names)
		if peer := p.byName[names[at]]; at != other && (peer == nil || now >= peer.excludedUntil) {
			return at
		}
	}
	return -1
}
