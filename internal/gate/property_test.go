package gate

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelosill/pomelosill/internal/result"
)

// TestMain fixes the seed; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// model is what a plain observer of the calls remembers. It shares no code
// with the gate.
type model struct {
	gate    *Gate
	now     time.Duration
	started map[Task]bool
	running map[Task]bool
	// generation is the highest generation of a fence that was obeyed.
	generation uint64
	// confirmedAt is the instant of the youngest confirmation since the fence.
	confirmedAt  time.Duration
	stamped      bool
	revision     uint64
	outOfService bool
	leaving      bool
}

// start sends a start and checks an OK against the history.
func (h *model) start(t *rapid.T) {
	s := Start{
		Generation: uint64(rapid.IntRange(0, 5).Draw(t, "generation")),
		Task: Task{
			Submission: submissionID(time.Duration(rapid.IntRange(0, 40).Draw(t, "minute"))*time.Minute, 0),
			Index:      uint32(rapid.IntRange(0, 3).Draw(t, "index")),
		},
		Timeout: time.Duration(rapid.IntRange(-1, 5).Draw(t, "timeout")),
	}
	code := h.gate.Admit(h.now, s).Code
	if h.started[s.Task] && code.NotRun() {
		t.Fatalf("%v of a started task promises that it did not run", code)
	}
	if code != result.OK {
		return
	}
	switch {
	case h.started[s.Task]:
		t.Fatalf("task %v started twice", s.Task)
	case s.Generation < h.generation:
		t.Fatalf("start under generation %d after a fence by %d", s.Generation, h.generation)
	case !h.stamped || h.now-h.confirmedAt > 3*time.Second:
		t.Fatalf("start at %v without a young stamp", h.now)
	case h.leaving:
		t.Fatalf("start after leaving")
	case h.outOfService:
		t.Fatalf("start while out of service")
	case len(h.running) >= 2:
		t.Fatalf("start without a free slot")
	case s.Timeout <= 0:
		t.Fatalf("start after the deadline")
	}
	h.started[s.Task] = true
	h.running[s.Task] = true
}

func (h *model) stamp(t *rapid.T) {
	s := Stamp{
		HeartbeatSentAt: h.now - time.Duration(rapid.IntRange(-1, 6).Draw(t, "echo"))*time.Second,
		ConfirmationAge: time.Duration(rapid.IntRange(-1, 4).Draw(t, "age")) * time.Second,
		Generation:      uint64(rapid.IntRange(0, 5).Draw(t, "generation")),
		ControlRevision: uint64(rapid.IntRange(0, 9).Draw(t, "revision")),
	}
	// One revision always says the same.
	s.InService = s.ControlRevision%3 != 1
	h.gate.ApplyStamp(h.now, s)
	if s.Generation == 0 || s.Generation != h.generation || s.HeartbeatSentAt > h.now || s.ConfirmationAge < 0 {
		return
	}
	if s.ControlRevision >= h.revision {
		h.revision = s.ControlRevision
		h.outOfService = !s.InService
	}
	if confirmed := s.HeartbeatSentAt - s.ConfirmationAge; !h.stamped || confirmed > h.confirmedAt {
		h.stamped = true
		h.confirmedAt = confirmed
	}
}

func (h *model) fence(t *rapid.T) {
	generation := uint64(rapid.IntRange(0, 5).Draw(t, "generation"))
	records, ok := h.gate.Fence(0, generation)
	if ok != (generation > 0 && generation >= h.generation) {
		t.Fatalf("fence %d after %d gave %v", generation, h.generation, ok)
	}
	if !ok {
		return
	}
	h.generation = generation
	h.stamped = false
	running := 0
	for _, r := range records {
		if r.Running {
			running++
		}
		if r.Running != h.running[r.Task] {
			t.Fatalf("record of %v says running %v", r.Task, r.Running)
		}
	}
	if running != len(h.running) {
		t.Fatalf("%d of %d running tasks in the records", running, len(h.running))
	}
}

func (h *model) finish(t *rapid.T) {
	abort := rapid.Bool().Draw(t, "abort")
	for task := range h.running {
		if abort {
			h.gate.Abort(task)
			delete(h.started, task)
		} else {
			h.gate.End(h.now, Record{Task: task, Body: []byte("answer")})
		}
		delete(h.running, task)
	}
}

func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &model{gate: New(testConfig()), started: map[Task]bool{}, running: map[Task]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"start": h.start,
			"stamp": h.stamp,
			"fence": h.fence,
			"end":   h.finish,
			"tick": func(t *rapid.T) {
				h.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"freeze": func(t *rapid.T) {
				h.now += time.Duration(rapid.IntRange(3, 900).Draw(t, "s")) * time.Second
			},
			"expire": func(*rapid.T) { h.gate.Expire(h.now) },
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "leave") == 0 {
					h.gate.SetLeaving()
					h.leaving = true
				}
			},
		})
	})
}
