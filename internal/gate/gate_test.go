package gate

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func testConfig() Config {
	return Config{
		Slots:           2,
		Freshness:       3 * time.Second,
		RecordRetention: 10 * time.Minute,
		BodyRetention:   time.Minute,
		MaxHeldBytes:    1 << 20,
		MaxRecords:      1000,
		Epoch:           epoch,
	}
}

// submissionID returns the ID of submission n, made at the given time.
func submissionID(at time.Duration, n uint32) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(epoch.Add(at).UnixMilli())<<16)
	binary.BigEndian.PutUint32(id[12:], n)
	id[6] = 0x70
	id[8] = 0x80
	return id
}

func testTask(n uint32) Task {
	return Task{Submission: submissionID(0, n)}
}

func testStart(n uint32) Start {
	return Start{Generation: 1, Task: testTask(n), Timeout: time.Second}
}

// newStampedGate returns a gate that obeys generation 1 and got a stamp at time
// zero.
func newStampedGate() *Gate {
	g := New(testConfig())
	g.Fence(0, 1)
	g.ApplyStamp(0, Stamp{Generation: 1, ControlRevision: 5, InService: true})
	return g
}

func TestAdmitRefusals(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(g *Gate)
		now     time.Duration
		change  func(s *Start)
		want    result.Code
	}{
		{name: "admitted", want: result.OK},
		{name: "lower generation", prepare: func(g *Gate) { g.Fence(0, 2) }, want: result.StaleGeneration},
		{name: "higher generation", change: func(s *Start) { s.Generation = 2 }, want: result.StaleGeneration},
		{name: "generation zero", change: func(s *Start) { s.Generation = 0 }, want: result.StaleGeneration},
		{name: "other cell", change: func(s *Start) { s.Cell = 1 }, want: result.StaleGeneration},
		{name: "cell changed", prepare: func(g *Gate) { g.AssignCell(1) }, want: result.StaleGeneration},
		{name: "stamp at the freshness limit", now: 3 * time.Second, want: result.OK},
		{name: "stamp past the freshness limit", now: 3*time.Second + 1, want: result.StaleStamp},
		{name: "fenced again", prepare: func(g *Gate) { g.Fence(0, 1) }, want: result.StaleStamp},
		{name: "out of service", prepare: func(g *Gate) {
			g.ApplyStamp(0, Stamp{Generation: 1, ControlRevision: 5})
		}, want: result.OutOfService},
		{name: "out of service, then an older revision", prepare: func(g *Gate) {
			g.ApplyStamp(0, Stamp{Generation: 1, ControlRevision: 6})
			g.ApplyStamp(0, Stamp{Generation: 1, ControlRevision: 5, InService: true})
		}, want: result.OutOfService},
		{name: "out of service, then back in service", prepare: func(g *Gate) {
			g.ApplyStamp(0, Stamp{Generation: 1, ControlRevision: 6})
			g.ApplyStamp(0, Stamp{Generation: 1, ControlRevision: 7, InService: true})
		}, want: result.OK},
		{name: "leaving", prepare: func(g *Gate) { g.SetLeaving() }, want: result.Leaving},
		{name: "deadline passed", change: func(s *Start) { s.Timeout = 0 }, want: result.DeadlinePassed},
		{name: "no slot", prepare: func(g *Gate) {
			g.Admit(0, testStart(2))
			g.Admit(0, testStart(3))
		}, want: result.NoFreeSlot},
		{name: "started", prepare: func(g *Gate) { g.Admit(0, testStart(1)) }, want: result.AlreadyStarted},
		{name: "started, then fenced", prepare: func(g *Gate) {
			g.Admit(0, testStart(1))
			g.Fence(0, 2)
		}, want: result.AlreadyStarted},
		{name: "ID too old", change: func(s *Start) {
			s.Task.Submission = submissionID(-10*time.Minute-time.Millisecond, 1)
		}, want: result.AnswerExpired},
		{name: "ID from the future", change: func(s *Start) {
			s.Task.Submission = submissionID(11*time.Minute, 1)
		}, want: result.IDFromFuture},
		{name: "ID of another version", change: func(s *Start) { s.Task.Submission[6] = 0x40 }, want: result.BadSubmissionID},
		{name: "index too large", change: func(s *Start) { s.Task.Index = 120 }, want: result.Malformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStampedGate()
			if c.prepare != nil {
				c.prepare(g)
			}
			s := testStart(1)
			if c.change != nil {
				c.change(&s)
			}
			must.Eq(t, c.want, g.Admit(c.now, s).Code)
		})
	}
}

func TestStampPermitsStartsOnlyIfFreshAndCurrent(t *testing.T) {
	cases := []struct {
		name  string
		stamp Stamp
		want  result.Code
	}{
		{"fresh", Stamp{HeartbeatSentAt: 9 * time.Second, Generation: 1, InService: true}, result.OK},
		{"old confirmation", Stamp{HeartbeatSentAt: 9 * time.Second, ConfirmationAge: 2100 * time.Millisecond, Generation: 1, InService: true}, result.StaleStamp},
		{"late answer", Stamp{HeartbeatSentAt: 6 * time.Second, Generation: 1, InService: true}, result.StaleStamp},
		{"heartbeat sent in the future", Stamp{HeartbeatSentAt: 11 * time.Second, Generation: 1, InService: true}, result.StaleStamp},
		{"negative age", Stamp{HeartbeatSentAt: 5 * time.Second, ConfirmationAge: -9 * time.Second, Generation: 1, InService: true}, result.StaleStamp},
		{"longest age", Stamp{HeartbeatSentAt: 9 * time.Second, ConfirmationAge: math.MaxInt64, Generation: 1, InService: true}, result.StaleStamp},
		{"heartbeat sent before the start", Stamp{HeartbeatSentAt: math.MinInt64, ConfirmationAge: 1, Generation: 1, InService: true}, result.StaleStamp},
		{"generation zero", Stamp{HeartbeatSentAt: 9 * time.Second, InService: true}, result.StaleStamp},
		{"other cell", Stamp{HeartbeatSentAt: 9 * time.Second, Generation: 1, Cell: 7, InService: true}, result.StaleStamp},
		{"higher generation", Stamp{HeartbeatSentAt: 9 * time.Second, Generation: 2, InService: true}, result.StaleStamp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := New(testConfig())
			g.Fence(0, 1)
			g.ApplyStamp(10*time.Second, c.stamp)
			must.Eq(t, c.want, g.Admit(10*time.Second+100*time.Millisecond, testStart(1)).Code)
		})
	}
}

func TestRecheckDetectsChangesSinceAdmit(t *testing.T) {
	g := newStampedGate()
	must.Eq(t, result.OK, g.Admit(0, testStart(1)).Code)
	must.Eq(t, result.OK, g.Recheck(time.Second, testStart(1)))
	must.Eq(t, result.StaleStamp, g.Recheck(4*time.Second, testStart(1)))
	g.Fence(0, 2)
	must.Eq(t, result.StaleGeneration, g.Recheck(0, testStart(1)))
}

func TestFenceReturnsRecords(t *testing.T) {
	g := newStampedGate()
	g.Admit(0, testStart(1))
	g.Admit(0, testStart(2))
	must.True(t, g.End(time.Second, Record{Task: testTask(2), Code: result.OK, Body: []byte("x"), RunTime: time.Second}))
	must.False(t, g.End(time.Second, Record{Task: testTask(2)}))
	records, ok := g.Fence(0, 2)
	must.True(t, ok)
	must.SliceContainsAll(t, records, []Record{
		{Task: testTask(1), Running: true},
		{Task: testTask(2), Code: result.OK, Body: []byte("x"), RunTime: time.Second},
	})
	_, ok = g.Fence(0, 1)
	must.False(t, ok)
	_, ok = g.Fence(3, 9)
	must.False(t, ok)
}

func TestAbortedTaskMayStartLater(t *testing.T) {
	g := newStampedGate()
	g.Admit(0, testStart(1))
	must.True(t, g.Abort(testTask(1)))
	must.False(t, g.Abort(testTask(1)))
	must.Eq(t, 0, g.State(0).Running)
	must.Eq(t, result.OK, g.Admit(0, testStart(1)).Code)
	g.End(0, Record{Task: testTask(1)})
	must.False(t, g.Abort(testTask(1)))
}

func TestDroppingBodyKeepsRecord(t *testing.T) {
	ended := Record{Task: testTask(1), Code: result.OK, Body: make([]byte, 700_000)}
	cases := []struct {
		name string
		drop func(g *Gate)
	}{
		{"released", func(g *Gate) { g.ReleaseBodies(testTask(1).Submission) }},
		{"retention passed", func(g *Gate) { g.Expire(2 * time.Minute) }},
		{"limit on bytes", func(g *Gate) {
			g.Admit(0, testStart(2))
			g.End(0, Record{Task: testTask(2), Body: make([]byte, 700_000)})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStampedGate()
			g.Admit(0, testStart(1))
			g.End(0, ended)
			must.Eq(t, int64(700_000), g.State(0).HeldBytes)
			must.Eq(t, 700_000, len(g.Admit(0, testStart(1)).Record.Body))
			c.drop(g)
			d := g.Admit(0, testStart(1))
			must.Eq(t, result.AlreadyStarted, d.Code)
			must.Eq(t, result.AnswerExpired, d.Record.Code)
			must.Eq(t, 0, len(d.Record.Body))
			must.LessEq(t, 700_000, g.State(0).HeldBytes)
		})
	}
}

func TestRecordOutlivesItsID(t *testing.T) {
	g := newStampedGate()
	g.Admit(0, testStart(1))
	g.End(0, Record{Task: testTask(1)})
	for now := time.Duration(0); now < 15*time.Minute; now += 500 * time.Millisecond {
		g.Expire(now)
		g.ApplyStamp(now, Stamp{HeartbeatSentAt: now, Generation: 1, ControlRevision: 5, InService: true})
		s := testStart(1)
		want := result.AlreadyStarted
		if g.State(now).Records == 0 {
			want = result.AnswerExpired
		}
		must.Eq(t, want, g.Admit(now, s).Code)
	}
	must.Eq(t, int64(0), g.State(0).Records)
	must.Eq(t, int64(0), g.State(0).HeldBytes)
}

// TestRecordOutlivesItsIDUnderWrongWallClock guards against dropping a record
// too early because the agent's clock is wrong. An owner may start a task at
// another agent for as long as its own clock accepts the ID, and would not
// learn of the first start.
func TestRecordOutlivesItsIDUnderWrongWallClock(t *testing.T) {
	for name, ahead := range map[string]time.Duration{
		"correct clock":       0,
		"a second ahead":      time.Second,
		"five minutes ahead":  5 * time.Minute,
		"five minutes behind": -5 * time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Epoch = epoch.Add(ahead)
			g := New(cfg)
			g.Fence(0, 1)
			g.ApplyStamp(0, Stamp{Generation: 1, InService: true})
			// The epoch is the beginning of a minute, so this ID is the last one
			// of its bucket.
			s := Start{Generation: 1, Task: Task{Submission: submissionID(-time.Millisecond, 1)}, Timeout: time.Second}
			must.Eq(t, result.OK, g.Admit(0, s).Code)
			g.End(0, Record{Task: s.Task})
			g.Expire(cfg.RecordRetention + 10*time.Second)
			records, _ := g.Fence(0, 2)
			must.Len(t, 1, records)
		})
	}
}

func TestRecordKeepsDigest(t *testing.T) {
	g := newStampedGate()
	s := testStart(1)
	s.Digest = 9
	g.Admit(0, s)
	records, _ := g.Fence(0, 1)
	must.Eq(t, 9, records[0].Digest)
	g.End(0, Record{Task: s.Task})
	records, _ = g.Fence(0, 1)
	must.Eq(t, 9, records[0].Digest)
}

func TestRunningTaskKeepsItsRecord(t *testing.T) {
	g := newStampedGate()
	g.Admit(0, testStart(1))
	g.Expire(time.Hour)
	must.Eq(t, int64(1), g.State(0).Records)
	g.End(time.Hour, Record{Task: testTask(1), Body: []byte("x")})
	g.Expire(time.Hour + time.Second)
	records, _ := g.Fence(0, 2)
	must.Eq(t, "x", string(records[0].Body))
	g.Expire(time.Hour + 2*time.Minute)
	must.Eq(t, int64(0), g.State(0).Records)
}

func TestMaxRecordsRefusesFurtherStarts(t *testing.T) {
	cfg := testConfig()
	cfg.MaxRecords = 1
	g := New(cfg)
	g.Fence(0, 1)
	g.ApplyStamp(0, Stamp{Generation: 1, InService: true})
	must.Eq(t, result.OK, g.Admit(0, testStart(1)).Code)
	must.Eq(t, result.Overloaded, g.Admit(0, testStart(2)).Code)
}
