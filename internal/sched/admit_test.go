package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
)

var testStart = time.Unix(1000, 0)

// newTestScheduler returns a Scheduler with two endpoints of four slots each,
// in the domains d1 and d2.
func newTestScheduler(cfg Config, teams ...Team) *Scheduler {
	s := New(cfg, rand.New(rand.NewPCG(1, 2)))
	s.SetTeams(testStart, teams)
	s.SetEndpoint(testStart, Endpoint{Name: "e1", FailureDomain: "d1", Slots: 4})
	s.SetEndpoint(testStart, Endpoint{Name: "e2", FailureDomain: "d2", Slots: 4})
	return s
}

func newTestJob(n byte, team string, tasks int, timeout time.Duration) Job {
	j := Job{Key: Key{n}, Team: team, Deadline: testStart.Add(timeout)}
	for i := range tasks {
		j.Waiting = append(j.Waiting, i)
	}
	return j
}

func TestAdmitCodes(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxWaiting = 50
	cases := []struct {
		name string
		team Team
		job  Job
		want result.Code
	}{
		{"admitted", Team{Name: "a"}, newTestJob(9, "a", 1, time.Minute), result.OK},
		{"unknown team", Team{Name: "a"}, newTestJob(9, "b", 1, time.Minute), result.UnknownTeam},
		{"deadline passed", Team{Name: "a"}, newTestJob(9, "a", 1, 0), result.DeadlinePassed},
		{"known key", Team{Name: "a"}, newTestJob(1, "a", 1, time.Minute), result.IDConflict},
		{"at the quota", Team{Name: "a", MaxQueued: 40}, newTestJob(9, "a", 20, time.Minute), result.OK},
		{"over the quota", Team{Name: "a", MaxQueued: 40}, newTestJob(9, "a", 21, time.Minute), result.OverQuota},
		{"larger than the quota", Team{Name: "a", MaxQueued: 40}, newTestJob(9, "a", 41, time.Minute), result.CannotRun},
		{"queue full", Team{Name: "a"}, newTestJob(9, "a", 31, time.Minute), result.QueueFull},
		{"larger than the queue", Team{Name: "a"}, newTestJob(9, "a", 51, time.Minute), result.CannotRun},
		{"no endpoint in the team's domain", Team{Name: "a", Domains: []string{"d3"}}, newTestJob(9, "a", 1, time.Minute), result.CannotRun},
		{"an endpoint in the team's domain", Team{Name: "a", Domains: []string{"d1"}}, newTestJob(9, "a", 1, time.Minute), result.OK},
		{"can finish in time", Team{Name: "a"}, newTestJob(9, "a", 20, 5*time.Second), result.OK},
		{"too much queued work", Team{Name: "a"}, newTestJob(9, "a", 1, 4*time.Second), result.Overloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.team.Weight = 1
			s := newTestScheduler(cfg, c.team)
			s.RestoreJob(testStart, newTestJob(1, "a", 20, time.Minute))
			must.Eq(t, c.want, s.Admit(testStart, c.job))
			must.NoError(t, s.CheckInvariants())
			if c.want != result.OK {
				must.Eq(t, 20, s.Stats().Waiting)
			}
		})
	}
}

// TestJobIsRefusedOnlyOnceEndpointsAreKnown guards against refusing jobs
// after a restart, while no endpoint has attached yet.
func TestJobIsRefusedOnlyOnceEndpointsAreKnown(t *testing.T) {
	s := New(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	s.SetTeams(testStart, []Team{{Name: "a", Weight: 1, Domains: []string{"d1"}}})
	must.Eq(t, result.OK, s.Admit(testStart, newTestJob(1, "a", 1, time.Minute)))
	s.SetEndpoint(testStart, Endpoint{Name: "e2", FailureDomain: "d2", Slots: 1, State: OutOfService})
	must.Eq(t, result.CannotRun, s.Admit(testStart, newTestJob(2, "a", 1, time.Minute)))
}

// startAll starts all tasks that may start, and returns their number by
// endpoint.
func startAll(s *Scheduler, now time.Time) map[string]int {
	started := map[string]int{}
	for {
		a, ok := s.Next(now)
		if !ok {
			return started
		}
		started[a.Endpoint]++
	}
}

func TestWeightsAndLimits(t *testing.T) {
	cases := []struct {
		name  string
		teams []Team
		want  map[string]int
	}{
		{"equal weights", []Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}, map[string]int{"a": 4, "b": 4}},
		{"weights", []Team{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}}, map[string]int{"a": 6, "b": 2}},
		{"running limit", []Team{{Name: "a", Weight: 1, MaxRunning: 1}, {Name: "b", Weight: 1}}, map[string]int{"a": 1, "b": 7}},
		{"one domain", []Team{{Name: "a", Weight: 9, Domains: []string{"d1"}}, {Name: "b", Weight: 1}}, map[string]int{"a": 4, "b": 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(DefaultConfig(), c.teams...)
			s.RestoreJob(testStart, newTestJob(1, "a", 20, time.Minute))
			s.RestoreJob(testStart, newTestJob(2, "b", 20, time.Minute))
			startAll(s, testStart)
			for _, row := range s.Teams() {
				must.Eq(t, c.want[row.Name], row.Running)
			}
		})
	}
}

// TestReturningEndpointGetsItsSlotsOneByOne guards against filling all slots of
// an endpoint at once when it returns to service.
func TestReturningEndpointGetsItsSlotsOneByOne(t *testing.T) {
	s := newTestScheduler(DefaultConfig(), Team{Name: "a", Weight: 1, Domains: []string{"d1"}})
	s.RestoreJob(testStart, newTestJob(1, "a", 50, time.Hour))
	e := Endpoint{Name: "e1", FailureDomain: "d1", Slots: 4, State: OutOfService}
	s.SetEndpoint(testStart, e)
	must.MapEmpty(t, startAll(s, testStart))
	now := testStart.Add(time.Minute)
	e.State = InService
	s.SetEndpoint(now, e)
	for want := 1; want <= 4; want++ {
		startAll(s, now)
		must.Eq(t, want, s.EndpointStats("e1").Running)
		wakeup, ok := s.NextWakeup(now)
		must.True(t, ok)
		if want < 4 {
			must.Eq(t, 500*time.Millisecond, wakeup.Sub(now))
		}
		now = wakeup
	}
}

// TestRetriesStopWhenTheBudgetIsUsedUp guards against retrying without limit
// while starts keep being refused.
func TestRetriesStopWhenTheBudgetIsUsedUp(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Retry = RetryConfig{BudgetPerSuccess: 0.5, MaxBudget: 2}
	s := newTestScheduler(cfg, Team{Name: "a", Weight: 1})
	s.RestoreJob(testStart, newTestJob(1, "a", 8, time.Hour))
	var running []Assignment
	for range 8 {
		a, ok := s.Next(testStart)
		must.True(t, ok)
		running = append(running, a)
	}
	notStarted := func(a Assignment) bool {
		return s.TaskNotStarted(testStart, a.Key, a.Index, a.Endpoint, result.NoFreeSlot)
	}
	must.True(t, notStarted(running[0]))
	must.True(t, notStarted(running[1]))
	must.False(t, notStarted(running[2]))
	for _, a := range running[3:5] {
		s.TaskEnded(testStart, a.Key, a.Index, a.Endpoint, Completion{Code: result.OK, RunTime: time.Second})
	}
	must.True(t, notStarted(running[5]))
	must.False(t, notStarted(running[6]))
	must.NoError(t, s.CheckInvariants())
}

func TestInvalidCallIsReportedByCheckInvariants(t *testing.T) {
	s := newTestScheduler(DefaultConfig(), Team{Name: "a", Weight: 1})
	s.RestoreJob(testStart, newTestJob(1, "a", 1, time.Minute))
	a, ok := s.Next(testStart)
	must.True(t, ok)
	s.TaskEnded(testStart, a.Key, a.Index, a.Endpoint, Completion{Code: result.OK})
	must.NoError(t, s.CheckInvariants())
	s.TaskEnded(testStart, a.Key, a.Index, a.Endpoint, Completion{Code: result.OK})
	must.Eq(t, result.Internal, result.CodeOf(s.CheckInvariants()))
}

// TestOverloadCountsOnlyQueuedWork guards against refusing jobs forever after
// too long run times were learned, since only new runs correct them: a job is
// admitted while nothing is queued ahead of it. With work queued ahead, a job
// is admitted only if the slots can finish it in time.
func TestOverloadCountsOnlyQueuedWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		ahead int
		want  result.Code
	}{
		{"nothing queued", 0, result.OK},
		{"two tasks queued", 2, result.Overloaded},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(DefaultConfig(), Team{Name: "a", Weight: 1})
			if c.ahead > 0 {
				s.RestoreJob(testStart, newTestJob(1, "a", c.ahead, time.Minute))
			}
			must.Eq(t, c.want, s.Admit(testStart, newTestJob(9, "a", 100, 5*time.Second)))
		})
	}
	s := newTestScheduler(DefaultConfig(), Team{Name: "a", Weight: 1})
	s.RestoreJob(testStart, newTestJob(1, "a", 2, time.Minute))
	must.Eq(t, result.OK, s.Admit(testStart, newTestJob(9, "a", 40, 5*time.Second)))
}

func TestConfigOutOfRangeIsRejected(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	cfg := DefaultConfig()
	cfg.Overload.MaxWaitFraction = 2
	must.Eq(t, result.SettingsValue, result.CodeOf(cfg.Validate()))
}

// TestLeavingEndpointDoesNotBlockOthers guards against counting tasks on a
// leaving endpoint against the slots that are still usable: the free slots of
// the other endpoint must all be used.
func TestLeavingEndpointDoesNotBlockOthers(t *testing.T) {
	s := newTestScheduler(DefaultConfig(), Team{Name: "a", Weight: 1})
	s.RestoreJob(testStart, newTestJob(1, "a", 20, time.Hour))
	var onE2 []Assignment
	for range 8 {
		a, ok := s.Next(testStart)
		must.True(t, ok)
		if a.Endpoint == "e2" {
			onE2 = append(onE2, a)
		}
	}
	s.SetEndpoint(testStart, Endpoint{Name: "e1", FailureDomain: "d1", Slots: 4, State: Leaving})
	for _, a := range onE2 {
		s.TaskEnded(testStart, a.Key, a.Index, a.Endpoint, Completion{Code: result.OK, RunTime: 3 * time.Second})
	}
	must.Eq(t, map[string]int{"e2": 4}, startAll(s, testStart))
}

// TestExpiredJobsRemovedEarlyAreNotReturned guards against TakeExpired
// returning expired jobs that were removed before it was called.
func TestExpiredJobsRemovedEarlyAreNotReturned(t *testing.T) {
	s := newTestScheduler(DefaultConfig(), Team{Name: "a", Weight: 1, MaxRunning: 1})
	for n := range byte(10) {
		s.RestoreJob(testStart, newTestJob(n, "a", 5, time.Second))
	}
	later := testStart.Add(time.Minute)
	must.MapEmpty(t, startAll(s, later))
	for n := range byte(9) {
		must.Len(t, 5, s.RemoveJob(later, Key{n}))
	}
	must.NoError(t, s.CheckInvariants())
	must.Eq(t, []Key{{9}}, s.TakeExpired(later))
	must.Len(t, 5, s.RemoveJob(later, Key{9}))
	must.Eq(t, 0, s.Stats().Jobs)
}

// TestRefusedStartBacksOffTheEndpoint guards against sending tasks in a loop to
// an endpoint that refuses them. A refusal for the job's own sake must not
// cause a backoff.
func TestRefusedStartBacksOffTheEndpoint(t *testing.T) {
	cases := []struct {
		code    result.Code
		backoff time.Duration
	}{
		{result.NoFreeSlot, 50 * time.Millisecond},
		{result.StaleStamp, 50 * time.Millisecond},
		{result.EndpointUnreachable, 50 * time.Millisecond},
		{result.DeadlinePassed, 0},
		{result.Cancelled, 0},
	}
	for _, c := range cases {
		s := newTestScheduler(DefaultConfig(), Team{Name: "a", Weight: 1, Domains: []string{"d1"}})
		s.RestoreJob(testStart, newTestJob(1, "a", 1, time.Hour))
		a, ok := s.Next(testStart)
		must.True(t, ok)
		must.True(t, s.TaskNotStarted(testStart, a.Key, a.Index, a.Endpoint, c.code))
		_, ok = s.Next(testStart)
		must.Eq(t, c.backoff == 0, ok, must.Sprint(c.code))
		if c.backoff > 0 {
			wakeup, _ := s.NextWakeup(testStart)
			must.Eq(t, c.backoff, wakeup.Sub(testStart))
			_, ok = s.Next(wakeup)
			must.True(t, ok)
		}
	}
}
