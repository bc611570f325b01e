package control

import (
	"slices"

	"github.com/pomelosill/pomelosill/internal/result"
)

// HasMember tells whether id is on the roster.
func (d *Document) HasMember(id string) bool {
	_, ok := d.Member(id)
	return ok
}

// Member returns the member with this id.
func (d *Document) Member(id string) (Member, bool) {
	i := slices.IndexFunc(d.Roster, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return d.Roster[i], true
}

// Clone returns a deep copy.
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

// FinishRosterChange returns the document without its previous roster if the change of
// the roster is accepted, and the document itself otherwise.
func (d *Document) FinishRosterChange(acked func(id string) bool) *Document {
	if len(d.PreviousRoster) == 0 || !Accepted(d, acked) {
		return d
	}
	c := d.Clone()
	c.PreviousRoster = nil
	return c
}

// nextRevision returns a copy with the following revision.
func (d *Document) nextRevision(operation string) *Document {
	n := d.Clone()
	n.Revision++
	n.Operation = operation
	return n
}

// AddMember returns the document with m on the roster. A member with m's address
// is replaced: its process has ended, or m could not have bound the address.
// acked tells which members acknowledged d; the error has the code
// StoreConflict while an earlier change of the roster is not accepted.
func AddMember(d *Document, m Member, operation string, acked func(id string) bool) (*Document, error) {
	ended := func(id string) bool {
		old, ok := d.Member(id)
		return acked(id) || (ok && old.Address == m.Address)
	}
	return changeRoster(d, operation, ended, func(roster []Member) []Member {
		roster = slices.DeleteFunc(roster, func(o Member) bool { return o.Address == m.Address })
		return append(roster, m)
	}, func(o Member) bool { return o.Address == m.Address })
}

// RemoveMember returns the document without the member id, whose cells have no
// owner then. surelyEnded tells that its process cannot act any more.
func RemoveMember(d *Document, id, operation string, surelyEnded bool, acked func(id string) bool) (*Document, error) {
	gone := func(o Member) bool { return o.ID == id }
	known := func(o string) bool { return acked(o) || (surelyEnded && o == id) }
	return changeRoster(d, operation, known, func(roster []Member) []Member {
		return slices.DeleteFunc(roster, gone)
	}, func(o Member) bool { return surelyEnded && gone(o) })
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

// clearAbsentMembers frees the cells of entries that are not on the roster.
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
