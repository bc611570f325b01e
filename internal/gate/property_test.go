package gate

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelosill/pomelosill/internal/result"
)

// TestMain fixes the seed. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// model is a reference model that follows the calls to a gate. It shares no
// code with the gate.
type model struct {
	gate    *Gate
	now     time.Duration
	started map[Task]bool
	running map[Task]bool
	// generation is the highest generation whose fence was accepted.
	generation uint64
	// confirmedAt is when the latest confirmation since the last fence was
	// given.
	confirmedAt  time.Duration
	stamped      bool
	revision     uint64
	outOfService bool
	leaving      bool
}

// start tries to start a task and checks an OK against the model.
func (m *model) start(t *rapid.T) {
	s := Start{
		Generation: uint64(rapid.IntRange(0, 5).Draw(t, "generation")),
		Task: Task{
			Submission: submissionID(time.Duration(rapid.IntRange(0, 40).Draw(t, "minute"))*time.Minute, 0),
			Index:      uint32(rapid.IntRange(0, 3).Draw(t, "index")),
		},
		Timeout: time.Duration(rapid.IntRange(-1, 5).Draw(t, "timeout")),
	}
	code := m.gate.Admit(m.now, s).Code
	if m.started[s.Task] && code.NotRun() {
		t.Fatalf("%v of a started task promises that it did not run", code)
	}
	if code != result.OK {
		return
	}
	switch {
	case m.started[s.Task]:
		t.Fatalf("task %v started twice", s.Task)
	case s.Generation < m.generation:
		t.Fatalf("start under generation %d after a fence by %d", s.Generation, m.generation)
	case !m.stamped || m.now-m.confirmedAt > 3*time.Second:
		t.Fatalf("start at %v without a fresh stamp", m.now)
	case m.leaving:
		t.Fatalf("start after leaving")
	case m.outOfService:
		t.Fatalf("start while out of service")
	case len(m.running) >= 2:
		t.Fatalf("start without a free slot")
	case s.Timeout <= 0:
		t.Fatalf("start after the deadline")
	}
	m.started[s.Task] = true
	m.running[s.Task] = true
}

func (m *model) stamp(t *rapid.T) {
	s := Stamp{
		HeartbeatSentAt: m.now - time.Duration(rapid.IntRange(-1, 6).Draw(t, "echo"))*time.Second,
		ConfirmationAge: time.Duration(rapid.IntRange(-1, 4).Draw(t, "age")) * time.Second,
		Generation:      uint64(rapid.IntRange(0, 5).Draw(t, "generation")),
		ControlRevision: uint64(rapid.IntRange(0, 9).Draw(t, "revision")),
	}
	// The same revision always has the same service state.
	s.InService = s.ControlRevision%3 != 1
	m.gate.ApplyStamp(m.now, s)
	if s.Generation == 0 || s.Generation != m.generation || s.HeartbeatSentAt > m.now || s.ConfirmationAge < 0 {
		return
	}
	if s.ControlRevision >= m.revision {
		m.revision = s.ControlRevision
		m.outOfService = !s.InService
	}
	if confirmed := s.HeartbeatSentAt - s.ConfirmationAge; !m.stamped || confirmed > m.confirmedAt {
		m.stamped = true
		m.confirmedAt = confirmed
	}
}

func (m *model) fence(t *rapid.T) {
	generation := uint64(rapid.IntRange(0, 5).Draw(t, "generation"))
	records, ok := m.gate.Fence(0, generation)
	if ok != (generation > 0 && generation >= m.generation) {
		t.Fatalf("fence %d after %d gave %v", generation, m.generation, ok)
	}
	if !ok {
		return
	}
	m.generation = generation
	m.stamped = false
	running := 0
	for _, r := range records {
		if r.Running {
			running++
		}
		if r.Running != m.running[r.Task] {
			t.Fatalf("record of %v says running %v", r.Task, r.Running)
		}
	}
	if running != len(m.running) {
		t.Fatalf("%d of %d running tasks in the records", running, len(m.running))
	}
}

func (m *model) finish(t *rapid.T) {
	abort := rapid.Bool().Draw(t, "abort")
	for task := range m.running {
		if abort {
			m.gate.Abort(task)
			delete(m.started, task)
		} else {
			m.gate.End(m.now, Record{Task: task, Body: []byte("answer")})
		}
		delete(m.running, task)
	}
}

// TestGateProperties makes random calls to a gate, and checks admitted starts,
// refusals of started tasks and the records of fences against the model.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{gate: New(testConfig()), started: map[Task]bool{}, running: map[Task]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start,
			"stamp": m.stamp,
			"fence": m.fence,
			"end":   m.finish,
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"freeze": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(3, 900).Draw(t, "s")) * time.Second
			},
			"expire": func(*rapid.T) { m.gate.Expire(m.now) },
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "leave") == 0 {
					m.gate.SetLeaving()
					m.leaving = true
				}
			},
		})
	})
}
