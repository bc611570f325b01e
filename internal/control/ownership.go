package control

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// CellOfSubmission returns the cell that a submission ID hashes to.
func CellOfSubmission(id [16]byte, cells int) int {
	return int(xxhash.Sum64(id[:]) % uint64(cells))
}

// CellOfEndpoint returns the cell that an endpoint name hashes to.
func CellOfEndpoint(name string, cells int) int {
	return int(xxhash.Sum64String(name) % uint64(cells))
}

// NewDocument returns the first revision, with one member that owns every cell.
func NewDocument(m Member, cells int, operation string) *Document {
	d := &Document{Revision: 1, Operation: operation, Roster: []Member{m}}
	for range cells {
		d.Cells = append(d.Cells, Cell{Owner: m.ID, Generation: 1})
	}
	return d
}

// PreferredOwner returns the member that should own the cell now: the present
// owner if it is alive, else the deputy if it is alive, else the alive member
// that ranks highest for this cell. It returns "" if nobody is alive.
func PreferredOwner(d *Document, cell int, alive func(id string) bool) string {
	c := d.Cells[cell]
	if c.Owner != "" && alive(c.Owner) {
		return c.Owner
	}
	if c.Deputy != "" && alive(c.Deputy) {
		return c.Deputy
	}
	return highestRanked(d, cell, func(m Member) bool { return alive(m.ID) })
}

// PreferredDeputy returns the alive member that should be the deputy of the
// cell under the given owner: the present deputy if it still qualifies, else
// preferably a member in another failure domain than the owner.
func PreferredDeputy(d *Document, cell int, owner string, alive func(id string) bool) string {
	present := d.Cells[cell].Deputy
	if present != owner && d.HasMember(present) && alive(present) {
		return present
	}
	o, _ := d.Member(owner)
	eligible := func(m Member) bool { return m.ID != owner && alive(m.ID) }
	elsewhere := func(m Member) bool { return eligible(m) && m.FailureDomain != o.FailureDomain }
	if id := highestRanked(d, cell, elsewhere); id != "" {
		return id
	}
	return highestRanked(d, cell, eligible)
}

// highestRanked returns the qualifying member with the highest rendezvous hash
// for the cell, so that cells spread evenly and a change of the roster moves
// few of them.
func highestRanked(d *Document, cell int, eligible func(Member) bool) string {
	best, bestHash := "", uint64(0)
	for _, m := range d.Roster {
		h := rendezvousHash(m.ID, cell)
		if eligible(m) && (best == "" || h > bestHash) {
			best, bestHash = m.ID, h
		}
	}
	return best
}

func rendezvousHash(id string, cell int) uint64 {
	b := append([]byte(id), 0)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(cell)))
}

// CellToRebalance returns a cell that its owner should hand to another member
// so that the alive members own about equally many. ok is false if the owner
// has at most one cell more than any other.
func CellToRebalance(d *Document, owner string, alive func(id string) bool) (cell int, to string, ok bool) {
	counts := map[string]int{}
	for _, c := range d.Cells {
		counts[c.Owner]++
	}
	fewest := ""
	for _, m := range d.Roster {
		if alive(m.ID) && (fewest == "" || counts[m.ID] < counts[fewest]) {
			fewest = m.ID
		}
	}
	if fewest == "" || counts[owner]-counts[fewest] < 2 {
		return 0, "", false
	}
	for i, c := range d.Cells {
		if c.Owner == owner {
			return i, fewest, true
		}
	}
	return 0, "", false
}

// TakeOver returns the document with the cells assigned to a new owner, each
// under a higher generation.
func TakeOver(d *Document, cells []int, owner, operation string, alive func(id string) bool) *Document {
	n := d.nextRevision(operation)
	for _, i := range cells {
		n.assignCell(i, owner, alive)
	}
	return n
}

// assignCell gives a cell a new owner under the next generation.
func (d *Document) assignCell(cell int, owner string, alive func(id string) bool) {
	c := &d.Cells[cell]
	c.Owner = owner
	c.Generation++
	c.Deputy = PreferredDeputy(d, cell, owner, alive)
}

// HandOver returns the document with each of the owner's cells assigned to its
// preferred owner, or nil if there is none to hand over. alive must be false
// for the owner itself.
func HandOver(d *Document, owner, operation string, alive func(id string) bool) *Document {
	n := d.nextRevision(operation)
	changed := false
	for i, c := range d.Cells {
		to := PreferredOwner(d, i, alive)
		if c.Owner != owner || to == "" {
			continue
		}
		n.assignCell(i, to, alive)
		changed = true
	}
	if !changed {
		return nil
	}
	return n
}

// SetDeputies returns the document with the preferred deputies for the owner's
// cells, or nil if they are set already.
func SetDeputies(d *Document, owner, operation string, alive func(id string) bool) *Document {
	n := d.nextRevision(operation)
	changed := false
	for i, c := range d.Cells {
		if c.Owner != owner {
			continue
		}
		n.Cells[i].Deputy = PreferredDeputy(d, i, owner, alive)
		changed = changed || n.Cells[i].Deputy != c.Deputy
	}
	if !changed {
		return nil
	}
	return n
}
