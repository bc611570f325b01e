package cell

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// BenchmarkJob is one job of 10 tasks from its submission to its answer; the
// time is for all 10.
func BenchmarkJob(b *testing.B) {
	c, l := benchCell(b)
	b.ReportAllocs()
	for b.Loop() {
		c.runJob(l, 10)
	}
}

// BenchmarkRememberedAnswer and BenchmarkRememberedID report the memory of an
// ended job while its answer is held, and afterwards.
func BenchmarkRememberedAnswer(b *testing.B) { benchJobMemory(b, 0) }

// BenchmarkRememberedID reports the memory of an id alone.
func BenchmarkRememberedID(b *testing.B) { benchJobMemory(b, 2*time.Minute) }

func benchJobMemory(b *testing.B, later time.Duration) {
	const jobs = 20000
	for b.Loop() {
		c, l := benchCell(b)
		before := heapBytes()
		for range jobs {
			c.runJob(l, 10)
		}
		c.tick(later)
		b.ReportMetric(float64(heapBytes()-before)/jobs, "bytes/job")
		runtime.KeepAlive(c)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchCell(b *testing.B) (*fixture, *fakeLink) {
	c := newFixtureTB(b, 1, AgentList{})
	c.cell.AcceptOwnership(c.now)
	return c, c.attach("e-1", "i1")
}

// runJob submits a job, runs what starts until nothing does, and drops the
// answer.
func (b *fixture) runJob(l *fakeLink, tasks int) {
	id := uuid.Must(uuid.NewV7())
	s := &pb.Submission{Id: id[:], Team: testTeam, TimeoutNs: int64(time.Minute)}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte("{}")})
	}
	b.now = time.Now()
	b.cell.Submit(s, func(*pb.Answer) {}, b.now)
	for starts := l.drainStarts(); len(starts) > 0; starts = l.drainStarts() {
		b.reportOutcomes(l, starts, result.OK)
	}
	if st := b.cell.State(); st.ActiveJobs != 0 {
		b.t.Fatalf("job %x did not end", sched.Key(id))
	}
}
