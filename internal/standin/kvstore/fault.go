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
	// Outage closes the connection without an answer; the call has no effect.
	Outage FaultKind = "outage"
	// Unavailable answers with HTTP status 503 and no code; the call has no
	// effect.
	Unavailable FaultKind = "unavailable"
	// Delay delays the execution of calls, even if the caller disconnects
	// meanwhile.
	Delay FaultKind = "delay"
	// LoseAnswers executes writes and then closes the connection.
	LoseAnswers FaultKind = "lose_answers"
	// StaleWatch hides changes from watches until their wait has elapsed.
	StaleWatch FaultKind = "stale_watch"
)

// Fault is an active fault.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Clients are the IDs of the affected clients; empty means all.
	Clients []string `json:"clients,omitempty"`
	// Calls are the affected kinds of calls; empty means all.
	Calls []wire.Kind `json:"calls,omitempty"`
	// Count is how many more calls are affected; zero means all.
	Count int `json:"count,omitempty"`
	// DelayMS is by how many milliseconds Delay delays a call.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Faults is the body of GET /faults and of POST /faults, which replaces all
// active faults.
type Faults struct {
	Faults []Fault `json:"faults"`
}

// validate returns an error if a kind of fault is unknown.
func (f Faults) validate() error {
	kinds := []FaultKind{Outage, Unavailable, Delay, LoseAnswers, StaleWatch}
	for _, fault := range f.Faults {
		if !slices.Contains(kinds, fault.Kind) {
			return result.Errorf(result.Malformed, "unknown kind of fault %q", fault.Kind)
		}
	}
	return nil
}

// faultTable holds the active faults.
type faultTable struct {
	mu      sync.Mutex
	faults  []Fault
	changed chan struct{}
}

func newFaultTable() *faultTable {
	return &faultTable{changed: make(chan struct{})}
}

// set replaces the faults and closes the current channel of changes.
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

// match returns the first fault of the kind that affects the call, and whether
// there is one. It counts the call against the fault's count.
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

// consume decrements the count of fault i and removes the fault at zero.
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
