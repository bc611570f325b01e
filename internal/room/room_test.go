package room

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pomelosill/pomelosill/internal/work"
)

const ms = time.Millisecond

var big = work.Resources{CPU: 10_000, MemoryMB: 1000}

func need(cpu int64) work.Resources { return work.Resources{CPU: cpu, MemoryMB: 10} }

func run(name string) work.Run { return work.Run{Task: name + ".0.0.0", Attempt: 1} }

// surveyed is an account whose endpoint has listed nothing.
func surveyed() *Account {
	a := New(big)
	a.Look(work.Look{}, 1*ms, 2*ms)
	return a
}

func listed(runs ...work.Run) work.Look {
	var l work.Look
	for _, r := range runs {
		l.Running = append(l.Running, work.Listed{Run: r})
	}
	return l
}

func add(t *testing.T, a *Account, r work.Run, cpu int64, at time.Duration) {
	t.Helper()
	must.True(t, a.Add(Entry{Run: r, Owner: "d", Need: need(cpu), Estimate: 100 * ms}, at))
}

func TestNothingFitsBeforeTheSurvey(t *testing.T) {
	a := New(big)
	must.False(t, a.Fits(need(1)))
	a.Look(listed(run("old")), 1*ms, 2*ms)
	must.False(t, a.Fits(need(1)), must.Sprint("a run of unknown size is there"))
	must.Eq(t, []work.Run{run("old")}, a.Strangers())
	a.Look(work.Look{}, 3*ms, 4*ms)
	must.True(t, a.Fits(need(1)))
}

func TestRoomIsTakenUntilTheEndIsListed(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 6000, 10*ms)
	must.False(t, a.Fits(need(6000)))
	a.Accepted(run("a"), 11*ms)
	must.True(t, a.Stop(run("a")))
	a.StopAcked(run("a"), 20*ms)
	must.False(t, a.Fits(need(6000)), must.Sprint("what is being stopped still counts"))
	a.Look(listed(run("a")), 21*ms, 22*ms)
	must.False(t, a.Fits(need(6000)))
	gone := a.Look(work.Look{Ended: []work.Ended{{Number: 1, Run: run("a"), End: work.EndStopped}}}, 40*ms, 41*ms)
	must.Len(t, 1, gone)
	must.Eq(t, work.EndStopped, gone[0].End)
	must.True(t, a.Fits(need(6000)))
	must.Eq(t, 1, a.Seen())
}

// An order without an answer may be carried out later. Its room is free only
// after a stop of it was acknowledged, and a look that left later.
func TestUnansweredStartKeepsItsRoom(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 6000, 10*ms)
	must.True(t, a.Unanswered(run("a")))
	a.Look(work.Look{}, 60*ms, 61*ms)
	must.False(t, a.Fits(need(6000)), must.Sprint("the start may still be carried out"))
	must.True(t, a.Stop(run("a")))
	a.Look(work.Look{}, 70*ms, 90*ms)
	must.False(t, a.Fits(need(6000)), must.Sprint("the stop was not acknowledged"))
	a.StopAcked(run("a"), 80*ms)
	a.Look(work.Look{}, 75*ms, 95*ms)
	must.False(t, a.Fits(need(6000)), must.Sprint("this look left before the acknowledgement"))
	gone := a.Look(work.Look{}, 81*ms, 96*ms)
	must.Len(t, 1, gone)
	must.Eq(t, work.End(0), gone[0].End)
	must.True(t, a.Fits(need(6000)))
}

// The answer of a start may be lost though the run goes on.
func TestListedRunIsNotDoubtful(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 6000, 10*ms)
	a.Unanswered(run("a"))
	a.Look(listed(run("a")), 60*ms, 61*ms)
	e, found := a.Get(run("a"))
	must.True(t, found)
	must.Eq(t, Running, e.State)
}

// A look that was overtaken still lists a run that has ended; it must not
// count as a run of unknown origin.
func TestOvertakenLookListsNoStranger(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 1000, 10*ms)
	a.Accepted(run("a"), 11*ms)
	a.Look(work.Look{Ended: []work.Ended{{Number: 1, Run: run("a"), End: work.EndDone}}}, 50*ms, 52*ms)
	a.Look(listed(run("a")), 40*ms, 53*ms)
	must.True(t, a.Open())
	a.Look(listed(run("a")), 60*ms, 61*ms)
	must.False(t, a.Open(), must.Sprint("it appeared again after its end"))
}

func TestEndsAreTakenOnce(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 1000, 10*ms)
	ended := work.Look{Ended: []work.Ended{{Number: 1, Run: run("a"), End: work.EndDone}}}
	must.Len(t, 1, a.Look(ended, 20*ms, 21*ms))
	must.Len(t, 0, a.Look(ended, 30*ms, 31*ms))
}

func TestAcceptedRunThatIsNotListedIsGone(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 1000, 10*ms)
	a.Accepted(run("a"), 30*ms)
	must.Len(t, 0, a.Look(work.Look{}, 20*ms, 31*ms), must.Sprint("the look left before the start was accepted"))
	must.Len(t, 1, a.Look(work.Look{}, 40*ms, 41*ms))
}

// While renewals get no answer nothing is known of the runs: they must not be
// taken to stand still.
func TestSilenceIsNotAStall(t *testing.T) {
	a := surveyed()
	must.True(t, a.Add(Entry{Run: run("a"), Need: need(1000), Estimate: time.Second}, 0))
	a.Accepted(run("a"), 1*ms)
	a.Look(work.Look{Running: []work.Listed{{Run: run("a"), Percent: 10}}}, 99*ms, 100*ms)
	must.SliceEmpty(t, a.Stalled(100*ms))
	must.SliceEmpty(t, a.Stalled(700*ms), must.Sprint("no look in 600 ms says nothing of the run"))
	a.Look(work.Look{Running: []work.Listed{{Run: run("a"), Percent: 70}}}, 700*ms, 701*ms)
	must.SliceEmpty(t, a.Stalled(701*ms))
}

func TestRunWithoutProgressIsStalledOnce(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 1000, 0)
	a.Accepted(run("a"), 1*ms)
	for at := 50 * ms; at <= 350*ms; at += 50 * ms {
		a.Look(work.Look{Running: []work.Listed{{Run: run("a"), Percent: 10}}}, at-ms, at)
	}
	must.Eq(t, []work.Run{run("a")}, a.Stalled(350*ms))
	must.SliceEmpty(t, a.Stalled(400*ms))
}

// Replays an endpoint that turns six times slower: a long run is moved, one
// that is nearly done stays.
func TestSlowEndpointGivesRunsUp(t *testing.T) {
	const slowFrom, slowBy = 250 * ms, 6
	a := surveyed()
	long, short := run("long"), run("short")
	estimates := map[work.Run]time.Duration{long: 900 * ms, short: 300 * ms}
	for r, estimate := range estimates {
		must.True(t, a.Add(Entry{Run: r, Need: need(100), Estimate: estimate}, 0))
		a.Accepted(r, 1*ms)
	}
	look := func(at time.Duration) {
		done := min(at, slowFrom) + max(0, at-slowFrom)/slowBy
		var l work.Look
		for r, estimate := range estimates {
			l.Running = append(l.Running, work.Listed{Run: r, Percent: 100 * done.Seconds() / estimate.Seconds()})
		}
		a.Look(l, at-ms, at)
	}
	var stalled []work.Run
	for at := 50 * ms; at <= 500*ms; at += 50 * ms {
		look(at)
		if at <= slowFrom {
			must.SliceEmpty(t, a.Stalled(at))
		}
		stalled = append(stalled, a.Stalled(at)...)
	}
	must.Less(t, suspectSpeed, a.Speed())
	must.Eq(t, []work.Run{long}, stalled)
}

// A lone job that takes longer than its estimate says nothing of the endpoint.
func TestLoneLongJobIsNotMoved(t *testing.T) {
	a := surveyed()
	for i := range 4 {
		r := work.Run{Task: work.Task{Job: "lone", Index: i}.String(), Attempt: 1}
		must.True(t, a.Add(Entry{Run: r, Need: need(100), Estimate: 300 * ms}, 0))
		a.Accepted(r, 1*ms)
	}
	for at := 50 * ms; at <= 500*ms; at += 50 * ms {
		var l work.Look
		for i := range 4 {
			r := work.Run{Task: work.Task{Job: "lone", Index: i}.String(), Attempt: 1}
			l.Running = append(l.Running, work.Listed{Run: r, Percent: at.Seconds() / 1.2 * 100})
		}
		a.Look(l, at-ms, at)
		must.SliceEmpty(t, a.Stalled(at))
	}
	must.Less(t, suspectSpeed, a.Speed())
}

func TestClearedRoomNeedsASurvey(t *testing.T) {
	a := surveyed()
	add(t, a, run("a"), 1000, 10*ms)
	must.Len(t, 1, a.Clear(20*ms))
	a.Reopen()
	must.False(t, a.Fits(need(1)))
}

// Whatever the order of answers, the room that is taken is that of the runs
// that may be there.
func TestRoomIsTheSumOfTheRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := surveyed()
		now := 10 * ms
		var known []work.Run
		number := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += ms
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r := run(fmt.Sprint("t", i))
				if a.Fits(need(1000)) && a.Add(Entry{Run: r, Need: need(1000)}, now) {
					known = append(known, r)
				}
			case 1, 2:
				if len(known) > 0 {
					r := rapid.SampledFrom(known).Draw(t, "run")
					a.Unanswered(r)
					a.Stop(r)
					a.StopAcked(r, now)
				}
			case 3:
				if len(known) > 0 {
					a.Accepted(rapid.SampledFrom(known).Draw(t, "run"), now)
				}
			case 4:
				if len(known) > 0 {
					number++
					r := rapid.SampledFrom(known).Draw(t, "run")
					a.Look(work.Look{Running: listed(known...).Running, Ended: []work.Ended{{Number: number, Run: r, End: work.EndDone}}}, now-ms, now)
				}
			case 5:
				a.Look(work.Look{}, now-ms, now)
			}
			if got, want := a.Used(), need(1000).Times(a.Runs()); got != want {
				t.Fatalf("used %+v, the %d runs take %+v", got, a.Runs(), want)
			}
			if !a.Used().Fits(big) {
				t.Fatalf("over the capacity: %+v", a.Used())
			}
		}
	})
}
