package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzDecode guards against a document that ends the process: every decision
// about a document that Decode accepts must return.
func FuzzDecode(f *testing.F) {
	full := NewDocument(testMember(1), 3, "op")
	full.Roster = append(full.Roster, testMember(2))
	full.PreviousRoster = []Member{testMember(1)}
	full.Config = Config{DomainsOut: []string{"a", "b"}, EndpointsOut: []string{"e"}, Teams: []Team{{Name: "t", Weight: 1}}}
	full.History = []Change{{Revision: 1, Object: "domain a"}}
	text, err := json.Marshal(full)
	must.NoError(f, err)
	for _, seed := range []string{
		string(text), ``, `null`, `{}`, `{"revision":1}`, `{"revision":18446744073709551615,"cells":[{}]}`, `{"revision":1,"cells":[]}`,
		`{"revision":1,"cells":[{"owner":"x","deputy":"y"}],"config":{"teams":[{"name":"b"},{"name":"a","weight":-1}]}}`,
		`{"revision":1,"cells":[{}],"config":{"domains_out":["b","a"]}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		decideAll(d)
		again, err := json.Marshal(d)
		must.NoError(t, err)
		_, err = Decode(again)
		must.NoError(t, err)
		for _, name := range d.Config.DomainsOut {
			must.False(t, d.Config.InService("", name))
		}
	})
}

// decideAll makes every decision about the document once.
func decideAll(d *Document) {
	CellOfSubmission([16]byte{}, len(d.Cells))
	CellOfEndpoint("e", len(d.Cells))
	self := d.Cells[0].Owner
	Accepted(d, always)
	ConfirmedAt(d, self, Confirmations{}, time.Now())
	d.FinishRosterChange(always)
	_, _, _ = CellToRebalance(d, self, always)
	TakeOver(d, []int{0}, "x", "op", always)
	HandOver(d, self, "op", never)
	SetDeputies(d, self, "op", always)
	_, _ = AddMember(d, testMember(3), "op", always)
	_, _ = RemoveMember(d, self, "op", true, always)
	_, _ = ApplyEdit(d, Edit{Domain: &ServiceEdit{Name: "a", Out: true}}, "op", time.Now())
	_, _ = ApplyEdit(d, Edit{Team: &TeamEdit{Name: "t"}}, "op", time.Now())
	d.Config.Team("t")
}
