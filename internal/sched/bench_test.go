package sched

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
)

// benchFleet is a Scheduler whose slots are all occupied, with more jobs
// waiting.
type benchFleet struct {
	s       *Scheduler
	now     time.Time
	rnd     *rand.Rand
	running []Assignment
	lastKey uint64
	teams   []Team
	tasks   int
}

func newBenchFleet(b *testing.B, endpoints, teams, waitingJobs, tasks int) *benchFleet {
	f := &benchFleet{now: testStart, rnd: rand.New(rand.NewPCG(1, 2)), tasks: tasks}
	f.s = New(DefaultConfig(), rand.New(rand.NewPCG(3, 4)))
	for i := range teams {
		f.teams = append(f.teams, Team{Name: fmt.Sprintf("team%d", i), Weight: 1})
	}
	f.s.SetTeams(testStart, f.teams)
	for i := range endpoints {
		f.s.SetEndpoint(testStart, Endpoint{Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%4), Slots: 8})
	}
	for range waitingJobs {
		must.Eq(b, result.OK, f.admit())
	}
	f.startAll()
	return f
}

func (f *benchFleet) admit() result.Code {
	f.lastKey++
	j := Job{Team: f.teams[f.lastKey%uint64(len(f.teams))].Name, Deadline: f.now.Add(time.Hour)}
	binary.BigEndian.PutUint64(j.Key[:], f.lastKey)
	j.Waiting = make([]int, f.tasks)
	for i := range j.Waiting {
		j.Waiting[i] = i
	}
	return f.s.Admit(f.now, j)
}

func (f *benchFleet) startAll() {
	for {
		a, ok := f.s.Next(f.now)
		if !ok {
			return
		}
		f.running = append(f.running, a)
	}
}

// endRandomTask completes a random running task.
func (f *benchFleet) endRandomTask() {
	i := f.rnd.IntN(len(f.running))
	a := f.running[i]
	f.running[i] = f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	f.now = f.now.Add(10 * time.Microsecond)
	run := 50*time.Millisecond + time.Duration(f.rnd.Int64N(int64(time.Second)))
	f.s.TaskEnded(f.now, a.Key, a.Index, a.Endpoint, Completion{Code: result.OK, RunTime: run})
}

// BenchmarkTask measures the scheduling cost of one task: a completion that
// frees a slot, the next start, and the admission of a new job per size.tasks
// tasks.
func BenchmarkTask(b *testing.B) {
	sizes := []struct{ endpoints, teams, jobs, tasks int }{
		{11, 2, 100, 25}, {220, 65, 4000, 25}, {220, 65, 4000, 1},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d/teams=%d/jobs=%d/tasks=%d", size.endpoints, size.teams, size.jobs, size.tasks), func(b *testing.B) {
			f := newBenchFleet(b, size.endpoints, size.teams, size.jobs, size.tasks)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				f.endRandomTask()
				f.startAll()
				if i%size.tasks == 0 {
					f.admit()
				}
			}
			b.StopTimer()
			must.NoError(b, f.s.CheckInvariants())
		})
	}
}

// BenchmarkRemove measures the removal of one job, out of 10,000 waiting jobs
// of 10 tasks.
func BenchmarkRemove(b *testing.B) {
	const waitingJobs = 10_000
	var f *benchFleet
	for i := range b.N {
		if i%waitingJobs == 0 {
			b.StopTimer()
			f = newBenchFleet(b, 220, 65, waitingJobs, 10)
			b.StartTimer()
		}
		var key Key
		binary.BigEndian.PutUint64(key[:], uint64(i%waitingJobs+1))
		f.s.RemoveJob(f.now, key)
	}
}

// BenchmarkCheck measures the invariant check of a cell with 4,000 waiting jobs
// of 25 tasks.
func BenchmarkCheck(b *testing.B) {
	f := newBenchFleet(b, 220, 65, 4000, 25)
	b.ResetTimer()
	for range b.N {
		must.NoError(b, f.s.CheckInvariants())
	}
}
