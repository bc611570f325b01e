package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pomelosill/pomelosill/internal/workload"
)

const ms = time.Millisecond

var endpointCapacity = workload.Resources{MilliCPU: 10_000, MemoryMB: 1000}

func resources(cpu int64) workload.Resources { return workload.Resources{MilliCPU: cpu, MemoryMB: 10} }

func newRunID(name string) workload.RunID { return workload.RunID{Task: name + ".0.0.0", Attempt: 1} }

// newSyncedTracker is an account whose endpoint has listed nothing.
func newSyncedTracker() *Tracker {
	a := New(endpointCapacity)
	a.Reconcile(workload.RenewalResponse{}, 1*ms, 2*ms)
	return a
}

func runningResponse(runs ...workload.RunID) workload.RenewalResponse {
	var l workload.RenewalResponse
	for _, r := range runs {
		l.Running = append(l.Running, workload.RunProgress{Run: r})
	}
	return l
}

func reserve(t *testing.T, a *Tracker, r workload.RunID, cpu int64, at time.Duration) {
	t.Helper()
	must.True(t, a.Reserve(Reservation{Run: r, Owner: "d", Resources: resources(cpu), Estimate: 100 * ms}, at))
}

func TestNothingFitsBeforeTheSurvey(t *testing.T) {
	a := New(endpointCapacity)
	must.False(t, a.Fits(resources(1)))
	a.Reconcile(runningResponse(newRunID("old")), 1*ms, 2*ms)
	must.False(t, a.Fits(resources(1)), must.Sprint("a run of unknown size is there"))
	must.Eq(t, []workload.RunID{newRunID("old")}, a.UnknownRuns())
	a.Reconcile(workload.RenewalResponse{}, 3*ms, 4*ms)
	must.True(t, a.Fits(resources(1)))
}

func TestRoomIsTakenUntilTheEndIsListed(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 6000, 10*ms)
	must.False(t, a.Fits(resources(6000)))
	a.StartAccepted(newRunID("a"), 11*ms)
	must.True(t, a.BeginStop(newRunID("a")))
	a.StopAcked(newRunID("a"), 20*ms)
	must.False(t, a.Fits(resources(6000)), must.Sprint("what is being stopped still counts"))
	a.Reconcile(runningResponse(newRunID("a")), 21*ms, 22*ms)
	must.False(t, a.Fits(resources(6000)))
	gone := a.Reconcile(workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: 1, Run: newRunID("a"), Outcome: workload.OutcomeStopped}}}, 40*ms, 41*ms)
	must.Len(t, 1, gone)
	must.Eq(t, workload.OutcomeStopped, gone[0].Outcome)
	must.True(t, a.Fits(resources(6000)))
	must.Eq(t, 1, a.LastEndSequence())
}

// An order without an answer may be carried out later. Its room is free only
// after a stop of it was acknowledged, and a look that left later.
func TestUnansweredStartKeepsItsRoom(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 6000, 10*ms)
	must.True(t, a.MarkUnanswered(newRunID("a")))
	a.Reconcile(workload.RenewalResponse{}, 60*ms, 61*ms)
	must.False(t, a.Fits(resources(6000)), must.Sprint("the start may still be carried out"))
	must.True(t, a.BeginStop(newRunID("a")))
	a.Reconcile(workload.RenewalResponse{}, 70*ms, 90*ms)
	must.False(t, a.Fits(resources(6000)), must.Sprint("the stop was not acknowledged"))
	a.StopAcked(newRunID("a"), 80*ms)
	a.Reconcile(workload.RenewalResponse{}, 75*ms, 95*ms)
	must.False(t, a.Fits(resources(6000)), must.Sprint("this look left before the acknowledgement"))
	gone := a.Reconcile(workload.RenewalResponse{}, 81*ms, 96*ms)
	must.Len(t, 1, gone)
	must.Eq(t, workload.Outcome(0), gone[0].Outcome)
	must.True(t, a.Fits(resources(6000)))
}

// The answer of a start may be lost though the run goes on.
func TestListedRunIsNotDoubtful(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 6000, 10*ms)
	a.MarkUnanswered(newRunID("a"))
	a.Reconcile(runningResponse(newRunID("a")), 60*ms, 61*ms)
	e, found := a.Reservation(newRunID("a"))
	must.True(t, found)
	must.Eq(t, Running, e.State)
}

// A look that was overtaken still lists a run that has ended; it must not
// count as a run of unknown origin.
func TestOvertakenLookListsNoStranger(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 1000, 10*ms)
	a.StartAccepted(newRunID("a"), 11*ms)
	a.Reconcile(workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: 1, Run: newRunID("a"), Outcome: workload.OutcomeDone}}}, 50*ms, 52*ms)
	a.Reconcile(runningResponse(newRunID("a")), 40*ms, 53*ms)
	must.True(t, a.AcceptsStarts())
	a.Reconcile(runningResponse(newRunID("a")), 60*ms, 61*ms)
	must.False(t, a.AcceptsStarts(), must.Sprint("it appeared again after its end"))
}

func TestEndsAreTakenOnce(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 1000, 10*ms)
	ended := workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: 1, Run: newRunID("a"), Outcome: workload.OutcomeDone}}}
	must.Len(t, 1, a.Reconcile(ended, 20*ms, 21*ms))
	must.Len(t, 0, a.Reconcile(ended, 30*ms, 31*ms))
}

func TestAcceptedRunThatIsNotListedIsGone(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 1000, 10*ms)
	a.StartAccepted(newRunID("a"), 30*ms)
	must.Len(t, 0, a.Reconcile(workload.RenewalResponse{}, 20*ms, 31*ms), must.Sprint("the look left before the start was accepted"))
	must.Len(t, 1, a.Reconcile(workload.RenewalResponse{}, 40*ms, 41*ms))
}

// While renewals get no answer nothing is known of the runs: they must not be
// taken to stand still.
func TestSilenceIsNotAStall(t *testing.T) {
	a := newSyncedTracker()
	must.True(t, a.Reserve(Reservation{Run: newRunID("a"), Resources: resources(1000), Estimate: time.Second}, 0))
	a.StartAccepted(newRunID("a"), 1*ms)
	a.Reconcile(workload.RenewalResponse{Running: []workload.RunProgress{{Run: newRunID("a"), Percent: 10}}}, 99*ms, 100*ms)
	must.SliceEmpty(t, a.NewlyStalled(100*ms))
	must.SliceEmpty(t, a.NewlyStalled(700*ms), must.Sprint("no look in 600 ms says nothing of the run"))
	a.Reconcile(workload.RenewalResponse{Running: []workload.RunProgress{{Run: newRunID("a"), Percent: 70}}}, 700*ms, 701*ms)
	must.SliceEmpty(t, a.NewlyStalled(701*ms))
}

func TestRunWithoutProgressIsStalledOnce(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 1000, 0)
	a.StartAccepted(newRunID("a"), 1*ms)
	for at := 50 * ms; at <= 350*ms; at += 50 * ms {
		a.Reconcile(workload.RenewalResponse{Running: []workload.RunProgress{{Run: newRunID("a"), Percent: 10}}}, at-ms, at)
	}
	must.Eq(t, []workload.RunID{newRunID("a")}, a.NewlyStalled(350*ms))
	must.SliceEmpty(t, a.NewlyStalled(400*ms))
}

// Replays an endpoint that turns six times slower: a long run is moved, one
// that is nearly done stays.
func TestSlowEndpointGivesRunsUp(t *testing.T) {
	const slowFrom, slowBy = 250 * ms, 6
	a := newSyncedTracker()
	long, short := newRunID("long"), newRunID("short")
	estimates := map[workload.RunID]time.Duration{long: 900 * ms, short: 300 * ms}
	for r, estimate := range estimates {
		must.True(t, a.Reserve(Reservation{Run: r, Resources: resources(100), Estimate: estimate}, 0))
		a.StartAccepted(r, 1*ms)
	}
	look := func(at time.Duration) {
		done := min(at, slowFrom) + max(0, at-slowFrom)/slowBy
		var l workload.RenewalResponse
		for r, estimate := range estimates {
			l.Running = append(l.Running, workload.RunProgress{Run: r, Percent: 100 * done.Seconds() / estimate.Seconds()})
		}
		a.Reconcile(l, at-ms, at)
	}
	var stalled []workload.RunID
	for at := 50 * ms; at <= 500*ms; at += 50 * ms {
		look(at)
		if at <= slowFrom {
			must.SliceEmpty(t, a.NewlyStalled(at))
		}
		stalled = append(stalled, a.NewlyStalled(at)...)
	}
	must.Less(t, slowThreshold, a.Speed())
	must.Eq(t, []workload.RunID{long}, stalled)
}

// A lone job that takes longer than its estimate says nothing of the endpoint.
func TestLoneLongJobIsNotMoved(t *testing.T) {
	a := newSyncedTracker()
	for i := range 4 {
		r := workload.RunID{Task: workload.TaskID{Job: "lone", Index: i}.String(), Attempt: 1}
		must.True(t, a.Reserve(Reservation{Run: r, Resources: resources(100), Estimate: 300 * ms}, 0))
		a.StartAccepted(r, 1*ms)
	}
	for at := 50 * ms; at <= 500*ms; at += 50 * ms {
		var l workload.RenewalResponse
		for i := range 4 {
			r := workload.RunID{Task: workload.TaskID{Job: "lone", Index: i}.String(), Attempt: 1}
			l.Running = append(l.Running, workload.RunProgress{Run: r, Percent: at.Seconds() / 1.2 * 100})
		}
		a.Reconcile(l, at-ms, at)
		must.SliceEmpty(t, a.NewlyStalled(at))
	}
	must.Less(t, slowThreshold, a.Speed())
}

func TestClearedRoomNeedsASurvey(t *testing.T) {
	a := newSyncedTracker()
	reserve(t, a, newRunID("a"), 1000, 10*ms)
	must.Len(t, 1, a.ReleaseAll(20*ms))
	a.RequireSync()
	must.False(t, a.Fits(resources(1)))
}

// Whatever the order of answers, the room that is taken is that of the runs
// that may be there.
func TestRoomIsTheSumOfTheRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newSyncedTracker()
		now := 10 * ms
		var known []workload.RunID
		number := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += ms
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r := newRunID(fmt.Sprint("t", i))
				if a.Fits(resources(1000)) && a.Reserve(Reservation{Run: r, Resources: resources(1000)}, now) {
					known = append(known, r)
				}
			case 1, 2:
				if len(known) > 0 {
					r := rapid.SampledFrom(known).Draw(t, "run")
					a.MarkUnanswered(r)
					a.BeginStop(r)
					a.StopAcked(r, now)
				}
			case 3:
				if len(known) > 0 {
					a.StartAccepted(rapid.SampledFrom(known).Draw(t, "run"), now)
				}
			case 4:
				if len(known) > 0 {
					number++
					r := rapid.SampledFrom(known).Draw(t, "run")
					a.Reconcile(workload.RenewalResponse{Running: runningResponse(known...).Running, Ended: []workload.EndedRun{{Sequence: number, Run: r, Outcome: workload.OutcomeDone}}}, now-ms, now)
				}
			case 5:
				a.Reconcile(workload.RenewalResponse{}, now-ms, now)
			}
			if got, want := a.Used(), resources(1000).Times(a.RunCount()); got != want {
				t.Fatalf("used %+v, the %d runs take %+v", got, a.RunCount(), want)
			}
			if !a.Used().Fits(endpointCapacity) {
				t.Fatalf("over the capacity: %+v", a.Used())
			}
		}
	})
}
