package kvstore

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store/wire"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// Outage closes the connection without an answer, and without an effect.
	Outage FaultKind = "outage"
	// Unavailable answers HTTP status 503 without a code, without an effect.
	Unavailable FaultKind = "unavailable"
	// Delay executes calls late, also when the caller has gone by then.
	Delay FaultKind = "delay"
	// LoseAnswers executes writes and then closes the connection.
	LoseAnswers FaultKind = "lose_answers"
	// StaleWatch lets watches see no change until their wait is over.
	StaleWatch FaultKind = "stale_watch"
)

// Fault is one fault in force.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Clients are the client ids that it hits; empty is all.
	Clients []string `json:"clients,omitempty"`
	// Calls are the kinds of calls that it hits; empty is all.
	Calls []wire.Kind `json:"calls,omitempty"`
	// Count is how many more calls it hits; zero is all until replaced.
	Count int `json:"count,omitempty"`
	// DelayMS is how late a Delay executes, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Faults is the body of POST /faults, which replaces all faults in force, and
// of GET /faults.
type Faults struct {
	Faults []Fault `json:"faults"`
}

// validate refuses unknown kinds.
func (f Faults) validate() error {
	known := []FaultKind{Outage, Unavailable, Delay, LoseAnswers, StaleWatch}
	for _, one := range f.Faults {
		if !slices.Contains(known, one.Kind) {
			return result.Errorf(result.Malformed, "unknown kind of fault %q", one.Kind)
		}
	}
	return nil
}

// faultTable holds the faults in force.
type faultTable struct {
	mu      sync.Mutex
	faults  []Fault
	changed chan struct{}
}

func newFaultTable() *faultTable {
	return &faultTable{changed: make(chan struct{})}
}

// set replaces the faults and wakes whoever waits for a change of them.
func (t *faultTable) set(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = slices.Clone(f.Faults)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *faultTable) list() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Faults{Faults: slices.Clone(t.faults)}
}

// changes returns a channel that is closed when the faults are replaced.
func (t *faultTable) changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// match tells whether a fault of this kind hits a call, and uses up one of its
// count.
func (t *faultTable) match(kind FaultKind, client string, call wire.Kind) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.faults {
		if f.Kind != kind || !f.matches(client, call) {
			continue
		}
		t.consume(i)
		return f, true
	}
	return Fault{}, false
}

// consume takes one from the count of fault i, and drops the fault at its last.
func (t *faultTable) consume(i int) {
	if t.faults[i].Count == 0 {
		return
	}
	t.faults[i].Count--
	if t.faults[i].Count == 0 {
		t.faults = slices.Delete(t.faults, i, i+1)
	}
}

func (f Fault) matches(client string, call wire.Kind) bool {
	if len(f.Clients) > 0 && !slices.Contains(f.Clients, client) {
		return false
	}
	if f.Kind == LoseAnswers && !call.IsWrite() {
		return false
	}
	if f.Kind == StaleWatch && call != wire.Watch {
		return false
	}
	return len(f.Calls) == 0 || slices.Contains(f.Calls, call)
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }
