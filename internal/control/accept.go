package control

// Majority is the smallest number of n members that no other majority is
// disjoint from.
func Majority(n int) int { return n/2 + 1 }

// Quorum is the number of acknowledgements out of n members after which no
// majority is left without one of them.
func Quorum(n int) int { return n - Majority(n) + 1 }

// Accepted tells whether enough members acknowledged the document's revision
// that no entry can find a majority which vouches for an older one. While a
// change of the roster is pending, the previous roster counts as well.
func Accepted(d *Document, acked func(id string) bool) bool {
	return quorumAcked(d.Roster, acked) && quorumAcked(d.PreviousRoster, acked)
}

func quorumAcked(roster []Member, acked func(id string) bool) bool {
	if len(roster) == 0 {
		return true
	}
	n := 0
	for _, m := range roster {
		if m.Ended || acked(m.ID) {
			n++
		}
	}
	return n >= Quorum(len(roster))
}
