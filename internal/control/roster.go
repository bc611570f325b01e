package control

import (
	"slices"

	"github.com/pomelosill/pomelosill/internal/result"
)

// HasMember reports whether the roster contains a member with this ID.
func (d *Document) HasMember(id string) bool {
	_, ok := d.Member(id)
	return ok
}

// Member returns the member of the roster with this ID.
func (d *Document) Member(id string) (Member, bool) {
	i := slices.IndexFunc(d.Roster, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return d.Roster[i], true
}

// Clone returns a copy whose lists can be changed without affecting d. The
// copies share each team's list of domains, which must be replaced rather than
// modified.
func (d *Document) Clone() *Document {
	c := *d
	c.Config.DomainsOut = slices.Clone(d.Config.DomainsOut)
	c.Config.EndpointsOut = slices.Clone(d.Config.EndpointsOut)
	c.Config.Teams = slices.Clone(d.Config.Teams)
	c.Roster = slices.Clone(d.Roster)
	c.PreviousRoster = slices.Clone(d.PreviousRoster)
	c.Cells = slices.Clone(d.Cells)
	c.History = slices.Clone(d.History)
	return &c
}

// FinishRosterChange returns the document without its previous roster if the
// change of the roster has been accepted, and d itself otherwise.
func (d *Document) FinishRosterChange(acked func(id string) bool) *Document {
	if len(d.PreviousRoster) == 0 || !Accepted(d, acked) {
		return d
	}
	c := d.Clone()
	c.PreviousRoster = nil
	return c
}

// nextRevision returns a copy of d with the next revision number.
func (d *Document) nextRevision(operation string) *Document {
	n := d.Clone()
	n.Revision++
	n.Operation = operation
	return n
}

// AddMember returns the document with m on the roster. A member with the same
// address is replaced: its process must have ended, or m could not have bound
// the address. acked reports which members have acknowledged d. The error has
// the code StoreConflict while an earlier change of the roster is not accepted.
func AddMember(d *Document, m Member, operation string, acked func(id string) bool) (*Document, error) {
	ackedOrEnded := func(id string) bool {
		old, ok := d.Member(id)
		return acked(id) || (ok && old.Address == m.Address)
	}
	return changeRoster(d, operation, ackedOrEnded, func(roster []Member) []Member {
		roster = slices.DeleteFunc(roster, func(o Member) bool { return o.Address == m.Address })
		return append(roster, m)
	}, func(o Member) bool { return o.Address == m.Address })
}

// RemoveMember returns the document without the member id, whose cells then
// have no owner. stopped states that the member cannot act any more, so that its
// acknowledgement is not needed.
func RemoveMember(d *Document, id, operation string, stopped bool, acked func(id string) bool) (*Document, error) {
	removed := func(o Member) bool { return o.ID == id }
	ackedOrEnded := func(o string) bool { return acked(o) || (stopped && o == id) }
	return changeRoster(d, operation, ackedOrEnded, func(roster []Member) []Member {
		return slices.DeleteFunc(roster, removed)
	}, func(o Member) bool { return stopped && removed(o) })
}

func changeRoster(d *Document, operation string, acked func(id string) bool,
	change func([]Member) []Member, ended func(Member) bool,
) (*Document, error) {
	if len(d.PreviousRoster) > 0 && !Accepted(d, acked) {
		return nil, result.Errorf(result.StoreConflict, "the roster of revision %d is not accepted yet", d.Revision)
	}
	n := d.nextRevision(operation)
	n.PreviousRoster = slices.Clone(d.Roster)
	for i := range n.PreviousRoster {
		n.PreviousRoster[i].Ended = ended(n.PreviousRoster[i])
	}
	n.Roster = change(n.Roster)
	n.clearAbsentMembers()
	return n, nil
}

// clearAbsentMembers clears the owners and deputies that are not on the roster.
func (d *Document) clearAbsentMembers() {
	for i := range d.Cells {
		c := &d.Cells[i]
		if c.Deputy != "" && !d.HasMember(c.Deputy) {
			c.Deputy = ""
		}
		if c.Owner != "" && !d.HasMember(c.Owner) {
			c.Owner = ""
		}
	}
}
