package control

// Majority returns the size of the smallest majority of n members. Any two
// majorities have a member in common.
func Majority(n int) int { return n/2 + 1 }

// Quorum returns the number of acknowledgements, out of n members, after which
// every majority contains a member that has acknowledged.
func Quorum(n int) int { return n - Majority(n) + 1 }

// Accepted reports whether enough members have acknowledged the document's
// revision that no majority can confirm an older one. While a change of the
// roster is pending, this must hold for the previous roster as well.
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
