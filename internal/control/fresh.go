package control

import (
	"slices"
	"time"
)

// Confirmations are the instants, on the entry's own monotonic clock, of the
// questions that confirmed its present revision.
type Confirmations struct {
	// Store is when the store was last asked and held nothing newer.
	Store time.Time
	// Peers is when each member was last asked and vouched.
	Peers map[string]time.Time
}

// ConfirmedAt returns the latest instant at which the entry's revision was surely
// not yet replaced by an accepted one; the zero time if there is none. It is
// the later of the store's confirmation and of the instant by which a
// majority of the roster, self included, had been asked and vouched.
func ConfirmedAt(d *Document, self string, c Confirmations, now time.Time) time.Time {
	byPeers := peersConfirmedAt(d, self, c, now)
	if c.Store.After(byPeers) {
		return c.Store
	}
	return byPeers
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
	need := Majority(len(d.Roster))
	if len(asked) < need {
		return time.Time{}
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	return asked[need-1]
}

// CanConfirm tells whether an entry that is on its roster and holds the revision
// mine may vouch for one that holds the revision theirs.
func CanConfirm(d *Document, self string, theirs uint64) bool {
	return d.HasMember(self) && theirs >= d.Revision
}
