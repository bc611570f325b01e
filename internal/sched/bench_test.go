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

// benchFleet is a fleet under load, with its slots full and jobs waiting.
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
	x := &benchFleet{now: testStart, rnd: rand.New(rand.NewPCG(1, 2)), tasks: tasks}
	x.s = New(DefaultConfig(), rand.New(rand.NewPCG(3, 4)))
	for i := range teams {
		x.teams = append(x.teams, Team{Name: fmt.Sprintf("team%d", i), Weight: 1})
	}
	x.s.SetTeams(testStart, x.teams)
	for i := range endpoints {
		x.s.SetEndpoint(testStart, Endpoint{Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%4), Slots: 8})
	}
	for range waitingJobs {
		must.Eq(b, result.OK, x.admit())
	}
	x.startAll()
	return x
}

func (x *benchFleet) admit() result.Code {
	x.lastKey++
	j := Job{Team: x.teams[x.lastKey%uint64(len(x.teams))].Name, Deadline: x.now.Add(time.Hour)}
	binary.BigEndian.PutUint64(j.Key[:], x.lastKey)
	j.Waiting = make([]int, x.tasks)
	for i := range j.Waiting {
		j.Waiting[i] = i
	}
	return x.s.Admit(x.now, j)
}

func (x *benchFleet) startAll() {
	for {
		a, ok := x.s.Next(x.now)
		if !ok {
			return
		}
		x.running = append(x.running, a)
	}
}

// endRandomTask ends a random running task.
func (x *benchFleet) endRandomTask() {
	i := x.rnd.IntN(len(x.running))
	a := x.running[i]
	x.running[i] = x.running[len(x.running)-1]
	x.running = x.running[:len(x.running)-1]
	x.now = x.now.Add(10 * time.Microsecond)
	run := 50*time.Millisecond + time.Duration(x.rnd.Int64N(int64(time.Second)))
	x.s.TaskEnded(x.now, a.Key, a.Index, a.Endpoint, Completion{Code: result.OK, RunTime: run})
}

// BenchmarkTask is one task's way through the queue: an ending that frees a
// slot, the next start, and the admission of a job when one has been used up.
func BenchmarkTask(b *testing.B) {
	sizes := []struct{ endpoints, teams, jobs, tasks int }{
		{11, 2, 100, 25}, {220, 65, 4000, 25}, {220, 65, 4000, 1},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d/teams=%d/jobs=%d/tasks=%d", size.endpoints, size.teams, size.jobs, size.tasks), func(b *testing.B) {
			x := newBenchFleet(b, size.endpoints, size.teams, size.jobs, size.tasks)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				x.endRandomTask()
				x.startAll()
				if i%size.tasks == 0 {
					x.admit()
				}
			}
			b.StopTimer()
			must.NoError(b, x.s.CheckInvariants())
		})
	}
}

// BenchmarkRemove cancels 10,000 waiting jobs of 10 tasks; the time is for
// one job.
func BenchmarkRemove(b *testing.B) {
	const wave = 10_000
	var x *benchFleet
	for i := range b.N {
		if i%wave == 0 {
			b.StopTimer()
			x = newBenchFleet(b, 220, 65, wave, 10)
			b.StartTimer()
		}
		var key Key
		binary.BigEndian.PutUint64(key[:], uint64(i%wave+1))
		x.s.RemoveJob(x.now, key)
	}
}

// BenchmarkCheck is the check of a cell with 4,000 waiting jobs of 25 tasks.
func BenchmarkCheck(b *testing.B) {
	x := newBenchFleet(b, 220, 65, 4000, 25)
	b.ResetTimer()
	for range b.N {
		must.NoError(b, x.s.CheckInvariants())
	}
}
