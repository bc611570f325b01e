package directory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/store"
)

func storeEntry(name, value string, revision uint64) store.Entry {
	return store.Entry{Key: Prefix + name, Value: []byte(value), Revision: revision}
}

const runnerRecord = `{"name":"n","role":"runner","address":"1.2.3.4:5"}`

func TestBadRecordsNameNobody(t *testing.T) {
	b := NewCache()
	bad := b.ApplyChanges(store.Changes{Entries: []store.Entry{
		storeEntry("n", runnerRecord, 3),
		storeEntry("x", "no JSON", 4),
		storeEntry("y", `{"name":"n","role":"runner","address":"6.6.6.6:6"}`, 5),
		storeEntry("z", `{"name":"z","role":"runner"}`, 6),
	}}, true, time.Now())
	must.Len(t, 3, bad)
	must.Eq(t, []Node{{Name: "n", Role: Runner, Address: "1.2.3.4:5", Revision: 3}}, b.Nodes(Runner))
}

// The store may drop a living process's record together with its lease.
func TestGoneRecordIsKeptForAWhile(t *testing.T) {
	b := NewCache()
	now := time.Now()
	b.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("n", runnerRecord, 3)}}, true, now)
	b.ApplyChanges(store.Changes{Deleted: []string{Prefix + "n"}}, false, now)
	must.Len(t, 1, b.Nodes(Runner))
	b.ApplyChanges(store.Changes{}, false, now.Add(removedRetention+time.Second))
	must.Len(t, 0, b.Nodes(Runner))
}

func TestLearnTakesNewerRecordsOnly(t *testing.T) {
	b := NewCache()
	changed := b.Changed()
	b.Merge([]Node{{Name: "n", Role: Runner, Address: "a:1", Revision: 5}})
	<-changed
	b.Merge([]Node{{Name: "n", Role: Runner, Address: "b:1", Revision: 4}})
	must.Eq(t, "a:1", b.Nodes(Runner)[0].Address)
	b.Merge([]Node{{Name: "n", Role: Runner, Address: "b:1", Revision: 6}})
	must.Eq(t, "b:1", b.Nodes(Runner)[0].Address)
}
