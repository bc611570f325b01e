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

// BenchmarkJob measures a job of 10 tasks from its submission to its answer.
// The time is that of all 10 tasks.
func BenchmarkJob(b *testing.B) {
	f, l := benchCell(b)
	b.ReportAllocs()
	for b.Loop() {
		f.runJob(l, 10)
	}
}

// BenchmarkRememberedAnswer measures the memory of an ended job while its
// answer is kept.
func BenchmarkRememberedAnswer(b *testing.B) { benchJobMemory(b, 0) }

// BenchmarkRememberedID measures the memory of an ended job after its answer
// was evicted, when only its ID is remembered.
func BenchmarkRememberedID(b *testing.B) { benchJobMemory(b, 2*time.Minute) }

func benchJobMemory(b *testing.B, later time.Duration) {
	const jobs = 20000
	for b.Loop() {
		f, l := benchCell(b)
		before := heapBytes()
		for range jobs {
			f.runJob(l, 10)
		}
		f.tick(later)
		b.ReportMetric(float64(heapBytes()-before)/jobs, "bytes/job")
		runtime.KeepAlive(f)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchCell(b *testing.B) (*fixture, *fakeLink) {
	f := newFixtureTB(b, 1, AgentList{})
	f.cell.AcceptOwnership(f.now)
	return f, f.attach("e-1", "i1")
}

// runJob submits a job, ends its tasks as they start, and discards the answer.
func (f *fixture) runJob(l *fakeLink, tasks int) {
	id := uuid.Must(uuid.NewV7())
	s := &pb.Submission{Id: id[:], Team: testTeam, TimeoutNs: int64(time.Minute)}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte("{}")})
	}
	f.now = time.Now()
	f.cell.Submit(s, func(*pb.Answer) {}, f.now)
	for starts := l.drainStarts(); len(starts) > 0; starts = l.drainStarts() {
		f.reportOutcomes(l, starts, result.OK)
	}
	if st := f.cell.State(); st.ActiveJobs != 0 {
		f.t.Fatalf("job %x did not end", sched.Key(id))
	}
}
