package directory

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/store"
)

func storeEntry(name, value string, revision uint64) store.Entry {
	return store.Entry{Key: Prefix + name, Value: []byte(value), Revision: revision}
}

const runnerRecord = `{"name":"n","role":"runner","address":"1.2.3.4:5"}`

func TestMalformedRecordsAreIgnored(t *testing.T) {
	c := NewCache()
	errs := c.ApplyChanges(store.Changes{Entries: []store.Entry{
		storeEntry("n", runnerRecord, 3),
		storeEntry("x", "no JSON", 4),
		storeEntry("y", `{"name":"n","role":"runner","address":"6.6.6.6:6"}`, 5),
		storeEntry("z", `{"name":"z","role":"runner"}`, 6),
	}}, true, time.Now())
	must.Len(t, 3, errs)
	must.Eq(t, []Node{{Name: "n", Role: Runner, Address: "1.2.3.4:5", Revision: 3}}, c.Nodes(Runner))
}

// TestRemovedRecordIsKeptForRetention guards against forgetting a running
// process whose record the store has removed because it lost the record's
// lease. The process must still be found until it has written a new record.
func TestRemovedRecordIsKeptForRetention(t *testing.T) {
	c := NewCache()
	now := time.Now()
	c.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("n", runnerRecord, 3)}}, true, now)
	c.ApplyChanges(store.Changes{Deleted: []string{Prefix + "n"}}, false, now)
	must.Len(t, 1, c.Nodes(Runner))
	c.ApplyChanges(store.Changes{}, false, now.Add(removedRetention+time.Second))
	must.Len(t, 0, c.Nodes(Runner))
}

func TestMergeAcceptsNewerRecordsOnly(t *testing.T) {
	c := NewCache()
	changed := c.Changed()
	c.Merge([]Node{{Name: "n", Role: Runner, Address: "a:1", Revision: 5}})
	<-changed
	c.Merge([]Node{{Name: "n", Role: Runner, Address: "b:1", Revision: 4}})
	must.Eq(t, "a:1", c.Nodes(Runner)[0].Address)
	c.Merge([]Node{{Name: "n", Role: Runner, Address: "b:1", Revision: 6}})
	must.Eq(t, "b:1", c.Nodes(Runner)[0].Address)
}

// Dispatchers forget a removed process at different times. A peer that still
// knows its record must not bring it back, neither while the removed record is
// kept nor afterwards: it would be passed around forever.
func TestMergeIgnoresRecordsThatTheStoreHasRemoved(t *testing.T) {
	c := NewCache()
	now := time.Now()
	old := Node{Name: "n", Role: Runner, Address: "1.2.3.4:5", Revision: 3}
	c.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("n", runnerRecord, 3)}, Revision: 3}, true, now)
	c.ApplyChanges(store.Changes{Deleted: []string{Prefix + "n"}, Revision: 4}, false, now)
	c.Merge([]Node{old})
	c.ApplyChanges(store.Changes{Revision: 5}, false, now.Add(removedRetention+time.Second))
	must.Len(t, 0, c.Nodes(Runner), must.Sprint("merged while the removed record was kept"))
	c.Merge([]Node{old})
	must.Len(t, 0, c.Nodes(Runner), must.Sprint("merged after the record was forgotten"))
	c.Merge([]Node{{Name: "n", Role: Runner, Address: "1.2.3.4:6", Revision: 9}})
	must.Len(t, 1, c.Nodes(Runner), must.Sprint("the process has written a new record"))
}

// After a restart of all processes each writes its record again, at the same
// address. If each record made every dispatcher choose its links anew, the work
// for a restart would grow with the square of the fleet.
func TestRewrittenRecordMovesNoNode(t *testing.T) {
	c := NewCache()
	c.Merge([]Node{{Name: "n", Role: Runner, Address: "a:1", Revision: 5}})
	digest, version := c.Summary()
	changed := c.Changed()
	c.Merge([]Node{{Name: "n", Role: Runner, Address: "a:1", Revision: 6}})
	select {
	case <-changed:
		t.Fatal("no node has moved")
	default:
	}
	newDigest, newVersion := c.Summary()
	must.NotEq(t, digest, newDigest, must.Sprint("peers must get the new record"))
	must.Greater(t, version, newVersion)
	c.Merge([]Node{{Name: "n", Role: Runner, Address: "b:1", Revision: 7}})
	<-changed
}

// invalidValues are values that name no process.
var invalidValues = map[string]string{
	"deeply nested":           `{"name":"x","role":"runner","address":"1.2.3.4:5","x":` + strings.Repeat(`{"x":`, 100_000) + `1` + strings.Repeat(`}`, 100_000) + `}`,
	"deeply nested arrays":    strings.Repeat(`[`, 400_000),
	"number too large":        `{"name":1e999,"role":"runner","address":"1.2.3.4:5"}`,
	"port out of range":       `{"name":"x","role":"runner","address":"1.2.3.4:99999"}`,
	"port too large to parse": `{"name":"x","role":"dispatcher","address":"1.2.3.4:` + strings.Repeat("9", 400) + `"}`,
	"port 0":                  `{"name":"x","role":"runner","address":"1.2.3.4:0"}`,
	"no port":                 `{"name":"x","role":"runner","address":"1.2.3.4"}`,
	"no host":                 `{"name":"x","role":"runner","address":":5"}`,
	"not an address":          `{"name":"x","role":"dispatcher","address":"[[%zz:5"}`,
	"null":                    `null`,
}

// One invalid record must neither end the processes that read the directory,
// nor keep them from following it, nor be dialled.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	for name, value := range invalidValues {
		t.Run(name, func(t *testing.T) {
			c := NewCache()
			must.Len(t, 1, c.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("n", runnerRecord, 3), storeEntry("x", value, 4)}}, true, time.Now()))
			must.Len(t, 0, c.Nodes(Dispatcher))
			must.Len(t, 1, c.Nodes(Runner))
			must.Len(t, 0, c.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("m", `{"name":"m","role":"runner","address":"1.2.3.4:6"}`, 5)}}, false, time.Now()))
			must.Len(t, 2, c.Nodes(Runner))
		})
	}
}

// An invalid value under the key of a known process doesn't say that the process has ended.
func TestInvalidRecordDoesNotRemoveAKnownNode(t *testing.T) {
	for name, value := range invalidValues {
		t.Run(name, func(t *testing.T) {
			c := NewCache()
			now := time.Now()
			c.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("n", runnerRecord, 3)}}, true, now)
			c.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("n", value, 4)}}, true, now)
			c.ApplyChanges(store.Changes{Entries: []store.Entry{storeEntry("n", value, 4)}}, true, now.Add(2*removedRetention))
			must.Len(t, 1, c.Nodes(Runner))
		})
	}
}
