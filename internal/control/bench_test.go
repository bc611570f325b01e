package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// The size of the largest deployment that the system is designed for.
const (
	benchEntries = 50
	benchCells   = 50
	benchTeams   = 65
	benchDomains = 7
)

// BenchmarkDocument measures the time to encode and decode the control document
// of the largest deployment with a full history, and reports its size.
func BenchmarkDocument(b *testing.B) {
	d := NewDocument(testMember(0), benchCells, "01234567-89ab-cdef-0123-456789abcdef")
	for i := range benchEntries {
		m := testMember(i)
		m.ID = fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i)
		d.Roster = append(d.Roster, m)
	}
	for i := range d.Cells {
		d.Cells[i] = Cell{Owner: d.Roster[i].ID, Deputy: d.Roster[(i+1)%benchEntries].ID, Generation: 1000}
	}
	for i := range benchTeams {
		t := Team{Name: fmt.Sprintf("team-%02d", i), Weight: 1, MaxRunning: 20000, MaxQueued: 100000, MaxTimeoutMS: 60000}
		for k := range benchDomains {
			t.Domains = append(t.Domains, fmt.Sprintf("domain-%d", k))
		}
		d.Config.Teams = append(d.Config.Teams, t)
	}
	for i := range MaxHistory {
		d.History = append(d.History, Change{
			Revision: uint64(i), Operator: "operator", Statement: "set team team-01 max_running 20000", Object: "team team-01", At: time.Now(),
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		text, err := json.Marshal(d)
		if err != nil {
			b.Fatal(err)
		}
		var decoded Document
		if err := json.Unmarshal(text, &decoded); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(text)), "bytes")
	}
}
