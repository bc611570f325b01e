package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pomelosill/pomelosill/internal/result"
)

func testMember(i int) Member {
	return Member{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: fmt.Sprintf("d%d", i%3)}
}

func always(string) bool { return true }
func never(string) bool  { return false }

func TestQuorumOverlapsEveryMajority(t *testing.T) {
	for n := 1; n <= 60; n++ {
		must.Greater(t, n, Quorum(n)+Majority(n))
		must.Eq(t, n, Quorum(n)+Majority(n)-1)
	}
}

func TestConfirmedAt(t *testing.T) {
	now := time.Now()
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	d := &Document{Roster: []Member{testMember(0), testMember(1), testMember(2), testMember(3), testMember(4)}}
	for name, c := range map[string]struct {
		self string
		conf Confirmations
		want time.Time
	}{
		"nothing":             {"e0", Confirmations{}, time.Time{}},
		"store":               {"e0", Confirmations{Store: ago(2)}, ago(2)},
		"one peer is too few": {"e0", Confirmations{Peers: map[string]time.Time{"e1": ago(1)}}, time.Time{}},
		"second of two peers": {"e0", Confirmations{Peers: map[string]time.Time{"e1": ago(1), "e2": ago(3)}}, ago(3)},
		"second of three":     {"e0", Confirmations{Peers: map[string]time.Time{"e1": ago(1), "e2": ago(3), "e3": ago(2)}}, ago(2)},
		"peer off the roster": {"e0", Confirmations{Peers: map[string]time.Time{"e1": ago(1), "x": ago(1)}}, time.Time{}},
		"not on the roster":   {"x", Confirmations{Peers: map[string]time.Time{"e1": ago(1), "e2": ago(1)}}, time.Time{}},
		"later of the two":    {"e0", Confirmations{Store: ago(1), Peers: map[string]time.Time{"e1": ago(2), "e2": ago(2)}}, ago(1)},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, ConfirmedAt(d, c.self, c.conf, now))
		})
	}
}

func TestCanConfirmOnlyRevisionsNotOlderThanItsOwn(t *testing.T) {
	d := &Document{Revision: 7, Roster: []Member{testMember(0), testMember(1)}}
	must.False(t, CanConfirm(d, "e0", 6))
	must.True(t, CanConfirm(d, "e0", 7))
	must.True(t, CanConfirm(d, "e0", 8))
	must.False(t, CanConfirm(d, "e2", 7))
}

// TestAcceptedLeavesNoOlderMajority guards against accepting a revision while a
// majority of the roster of an older revision could still confirm that older
// revision.
func TestAcceptedLeavesNoOlderMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := []*Document{NewDocument(testMember(0), 1, "op")}
		held := map[string]int{"e0": 0}
		last := func() *Document { return docs[len(docs)-1] }
		acked := func(id string) bool { return held[id] == len(docs)-1 }
		for next := 1; next < 40; next++ {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if d, err := AddMember(last().FinishRosterChange(acked), testMember(next), "op", acked); err == nil {
					docs = append(docs, d)
					held[testMember(next).ID] = len(docs) - 1
				}
			case 1:
				out := rapid.SampledFrom(last().Roster).Draw(t, "out").ID
				if d, err := RemoveMember(last().FinishRosterChange(acked), out, "op", false, acked); err == nil && len(d.Roster) > 0 {
					docs = append(docs, d)
				}
			default:
				id := rapid.SampledFrom(last().Roster).Draw(t, "ack").ID
				held[id] = len(docs) - 1
			}
			if Accepted(last(), acked) {
				checkNoOlderMajority(t, docs, held)
			}
		}
	})
}

func checkNoOlderMajority(t *rapid.T, docs []*Document, held map[string]int) {
	for r, d := range docs[:len(docs)-1] {
		n := 0
		for _, m := range d.Roster {
			if held[m.ID] <= r {
				n++
			}
		}
		if n >= Majority(len(d.Roster)) {
			t.Fatalf("a majority of revision %d's roster could still confirm it after %d was accepted", r, len(docs)-1)
		}
	}
}

func TestOnlyOneRosterChangeAtATime(t *testing.T) {
	d := NewDocument(testMember(0), 1, "op")
	d2, err := AddMember(d, testMember(1), "op", never)
	must.NoError(t, err)
	must.Len(t, 1, d2.PreviousRoster)
	_, err = AddMember(d2, testMember(2), "op", never)
	must.Eq(t, result.StoreConflict, result.CodeOf(err))
	d3, err := AddMember(d2, testMember(2), "op", func(id string) bool { return id == "e0" })
	must.NoError(t, err)
	must.Len(t, 3, d3.Roster)
}

// TestAddMemberReplacesMemberOnSameAddress guards against a change of the
// roster that is never accepted. All three entries restart on their old
// addresses, one after another, so a change must not wait for the
// acknowledgements of their former processes.
func TestAddMemberReplacesMemberOnSameAddress(t *testing.T) {
	d := &Document{Revision: 5, Roster: []Member{testMember(0), testMember(1), testMember(2)}, Cells: []Cell{{Owner: "e0", Generation: 4}}}
	for i := range 3 {
		m := testMember(i)
		m.ID += "b"
		acked := func(id string) bool { return id == m.ID || len(id) == 3 }
		n, err := AddMember(d, m, "op", acked)
		must.NoError(t, err, must.Sprintf("entry %d", i))
		must.Len(t, 3, n.Roster)
		d = n
	}
	must.Eq(t, "", d.Cells[0].Owner)
	must.Eq(t, 4, d.Cells[0].Generation)
}

func TestApplyEdit(t *testing.T) {
	weight := 3
	negative := -1
	for name, c := range map[string]struct {
		edit      Edit
		code      result.Code
		unchanged bool
	}{
		"domain out of service":       {edit: Edit{Domain: &ServiceEdit{Name: "Comas", Out: true}}},
		"domain already in service":   {edit: Edit{Domain: &ServiceEdit{Name: "Comas"}}, unchanged: true},
		"no name":                     {edit: Edit{Domain: &ServiceEdit{Out: true}}, code: result.CommandRefused},
		"new team":                    {edit: Edit{Team: &TeamEdit{Name: "a", Weight: &weight}}},
		"negative limit":              {edit: Edit{Team: &TeamEdit{Name: "a", MaxQueued: &negative}}, code: result.CommandRefused},
		"unknown team":                {edit: Edit{Team: &TeamEdit{Name: "b", Remove: true}}, code: result.CommandRefused},
		"other revision":              {edit: Edit{IfRevision: 9, Domain: &ServiceEdit{Name: "Comas", Out: true}}, code: result.CommandConflict},
		"same revision":               {edit: Edit{IfRevision: 1, Domain: &ServiceEdit{Name: "Comas", Out: true}}},
		"empty edit":                  {edit: Edit{}, code: result.CommandRefused},
		"endpoint already in service": {edit: Edit{Endpoint: &ServiceEdit{Name: "e-1"}}, unchanged: true},
		"endpoint out of service":     {edit: Edit{Endpoint: &ServiceEdit{Name: "e-1", Out: true}}},
		"name with a line break":      {edit: Edit{Endpoint: &ServiceEdit{Name: "a\nb", Out: true}}, code: result.CommandRefused},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDocument(testMember(0), 1, "op")
			n, err := ApplyEdit(d, c.edit, "op2", time.Now())
			must.Eq(t, c.code, result.CodeOf(err))
			must.Eq(t, c.unchanged || c.code != result.OK, n == nil)
			must.Eq(t, 1, d.Revision)
			if n != nil {
				must.Eq(t, 2, n.Revision)
				must.Len(t, 1, n.History)
			}
		})
	}
}

func TestConcurrentEditOfSameObjectConflicts(t *testing.T) {
	d := NewDocument(testMember(0), 1, "op")
	out := Edit{Operator: "ana", Statement: "take domain Comas out", KnownRevision: d.Revision, Domain: &ServiceEdit{Name: "Comas", Out: true}}
	back := Edit{Operator: "luz", Statement: "return domain Comas", KnownRevision: d.Revision, Domain: &ServiceEdit{Name: "Comas"}}
	other := Edit{Operator: "luz", KnownRevision: d.Revision, Domain: &ServiceEdit{Name: "Los Olivos", Out: true}}
	updated, err := ApplyEdit(d, out, "op2", time.Now())
	must.NoError(t, err)
	_, err = ApplyEdit(updated, back, "op3", time.Now())
	must.Eq(t, result.CommandConflict, result.CodeOf(err))
	must.StrContains(t, err.Error(), "ana changed domain Comas in revision 2")
	_, err = ApplyEdit(updated, other, "op3", time.Now())
	must.NoError(t, err)
	back.KnownRevision = updated.Revision
	_, err = ApplyEdit(updated, back, "op3", time.Now())
	must.NoError(t, err)
}

func TestPreferredOwnerAndDeputy(t *testing.T) {
	d := &Document{Cells: make([]Cell, 20)}
	for i := range 6 {
		d.Roster = append(d.Roster, testMember(i))
	}
	counts := map[string]int{}
	for i := range d.Cells {
		counts[PreferredOwner(d, i, always)]++
	}
	must.Greater(t, 3, len(counts))
	d.Cells[0] = Cell{Owner: "e0", Deputy: "e1"}
	aliveExcept := func(ids ...string) func(string) bool {
		return func(id string) bool {
			for _, x := range ids {
				if x == id {
					return false
				}
			}
			return true
		}
	}
	must.Eq(t, "e0", PreferredOwner(d, 0, always))
	must.Eq(t, "e1", PreferredOwner(d, 0, aliveExcept("e0")))
	third := PreferredOwner(d, 0, aliveExcept("e0", "e1"))
	must.NotEq(t, "e0", third)
	must.NotEq(t, "e1", third)
	n := TakeOver(d, []int{0}, third, "op", aliveExcept("e0"))
	must.Eq(t, 1, n.Cells[0].Generation)
	must.Eq(t, d.Revision+1, n.Revision)
	deputy, _ := n.Member(n.Cells[0].Deputy)
	must.NotEq(t, third, deputy.ID)
	must.NotEq(t, "e0", deputy.ID)
}

func TestHandOverMovesAllCellsInOneRevision(t *testing.T) {
	d := &Document{Revision: 7, Roster: []Member{testMember(0), testMember(1), testMember(2)}, Cells: []Cell{
		{Owner: "e0", Generation: 1, Deputy: "e1"},
		{Owner: "e1", Generation: 2, Deputy: "e0"},
		{Owner: "e0", Generation: 3, Deputy: "e2"},
	}}
	aliveExceptE0 := func(id string) bool { return id != "e0" }
	n := HandOver(d, "e0", "op", aliveExceptE0)
	must.Eq(t, 8, n.Revision)
	must.Eq(t, []Cell{
		{Owner: "e1", Generation: 2, Deputy: "e2"},
		{Owner: "e1", Generation: 2, Deputy: "e0"},
		{Owner: "e2", Generation: 4, Deputy: "e1"},
	}, n.Cells)
	must.Nil(t, HandOver(n, "e0", "op", aliveExceptE0))
	must.Nil(t, HandOver(d, "e0", "op", never))
}

func TestRebalancingEndsInBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Document{Cells: make([]Cell, rapid.IntRange(1, 60).Draw(t, "cells"))}
		n := rapid.IntRange(1, 12).Draw(t, "members")
		for i := range n {
			d.Roster = append(d.Roster, testMember(i))
		}
		for i := range d.Cells {
			d.Cells[i].Owner = testMember(rapid.IntRange(0, n-1).Draw(t, "owner")).ID
		}
		dead := testMember(rapid.IntRange(0, n).Draw(t, "gone")).ID
		alive := func(id string) bool { return id != dead }
		for range 60 * 12 {
			moved := false
			for _, m := range d.Roster {
				i, to, ok := CellToRebalance(d, m.ID, alive)
				if ok && alive(m.ID) {
					moved = true
					d = TakeOver(d, []int{i}, to, "op", alive)
				}
			}
			if !moved {
				checkBalance(t, d, alive)
				return
			}
		}
		t.Fatal("cells never stop moving")
	})
}

func checkBalance(t *rapid.T, d *Document, alive func(string) bool) {
	counts := map[string]int{}
	for _, c := range d.Cells {
		counts[c.Owner]++
	}
	least, most := len(d.Cells), 0
	for _, m := range d.Roster {
		if alive(m.ID) {
			least = min(least, counts[m.ID])
			most = max(most, counts[m.ID])
		}
	}
	if most-least > 1 {
		t.Fatalf("owners hold from %d to %d cells", least, most)
	}
}

func TestCellOfSubmissionSpreadsEvenly(t *testing.T) {
	counts := make([]int, 50)
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 50000 {
		var id [16]byte
		for i := range id {
			id[i] = byte(rnd.Uint32())
		}
		counts[CellOfSubmission(id, 50)]++
	}
	for _, n := range counts {
		must.Between(t, 800, n, 1200)
	}
}
