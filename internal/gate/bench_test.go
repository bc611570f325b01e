package gate

import (
	"runtime"
	"testing"
	"time"
)

func newBenchGate() *Gate {
	cfg := testConfig()
	cfg.MaxRecords = 1 << 30
	g := New(cfg)
	g.Fence(0, 1)
	g.ApplyStamp(0, Stamp{Generation: 1, InService: true})
	return g
}

// benchTask returns the nth of a series of tasks that is spread over ten
// minutes, with 12 tasks to a submission.
func benchTask(n int) Task {
	at := time.Duration(n%600_000) * time.Millisecond
	return Task{Submission: submissionID(-at, uint32(n/12)), Index: uint32(n % 12)}
}

func BenchmarkAdmitEnd(b *testing.B) {
	g := newBenchGate()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		s := Start{Generation: 1, Task: benchTask(n), Timeout: time.Second}
		g.Admit(0, s)
		g.End(0, Record{Task: s.Task})
		if n%100_000 == 0 {
			g.Expire(12 * time.Minute)
		}
	}
}

func BenchmarkRecordBytes(b *testing.B) {
	const count = 100_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		g := newBenchGate()
		for n := range count {
			t := benchTask(n)
			g.Admit(0, Start{Generation: 1, Task: t, Timeout: time.Second})
			g.End(0, Record{Task: t})
		}
		g.Expire(2 * time.Minute)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/record")
		runtime.KeepAlive(g)
	}
}

func BenchmarkFence(b *testing.B) {
	g := newBenchGate()
	for n := range 100_000 {
		t := benchTask(n)
		g.Admit(0, Start{Generation: 1, Task: t, Timeout: time.Second})
		g.End(0, Record{Task: t})
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Fence(0, 1)
	}
}
