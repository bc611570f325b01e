package control

import (
	"slices"
	"time"
)

// Confirmations holds when an entry last had its present revision confirmed,
// and by whom. The times are those at which it asked, on its own monotonic
// clock.
type Confirmations struct {
	// Store is when the entry last asked the store and the store had no newer
	// revision.
	Store time.Time
	// Peers is when the entry last asked each member that confirmed the
	// revision.
	Peers map[string]time.Time
}

// ConfirmedAt returns the latest time at which it is certain that no newer
// revision had been accepted, or the zero time if there is none. It is the later
// of the store's confirmation and the majority's. The majority's is the oldest
// one among those members, the entry itself included, that form a majority of
// the roster and confirmed the revision most recently.
func ConfirmedAt(d *Document, self string, c Confirmations, now time.Time) time.Time {
	peers := peersConfirmedAt(d, self, c, now)
	if c.Store.After(peers) {
		return c.Store
	}
	return peers
}

func peersConfirmedAt(d *Document, self string, c Confirmations, now time.Time) time.Time {
	if !d.HasMember(self) {
		return time.Time{}
	}
	asked := []time.Time{now}
	for _, m := range d.Roster {
		at, ok := c.Peers[m.ID]
		if ok && m.ID != self {
			asked = append(asked, at)
		}
	}
	majority := Majority(len(d.Roster))
	if len(asked) < majority {
		return time.Time{}
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[majority-1]
}

// CanConfirm reports whether the entry self, which holds the document d, may
// confirm the revision theirs of another entry: self must be on the roster and
// hold no newer revision.
func CanConfirm(d *Document, self string, theirs uint64) bool {
	return d.HasMember(self) && theirs >= d.Revision
}
