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

func resources(milliCPU int64) workload.Resources {
	return workload.Resources{MilliCPU: milliCPU, MemoryMB: 10}
}

func newRunID(name string) workload.RunID { return workload.RunID{Task: name + ".0.0.0", Attempt: 1} }

// newSyncedTracker returns a tracker whose endpoint has listed no runs.
func newSyncedTracker() *Tracker {
	tr := New(endpointCapacity)
	tr.Reconcile(workload.RenewalResponse{}, 1*ms, 2*ms)
	return tr
}

func runningResponse(runs ...workload.RunID) workload.RenewalResponse {
	var resp workload.RenewalResponse
	for _, run := range runs {
		resp.Running = append(resp.Running, workload.RunProgress{Run: run})
	}
	return resp
}

func reserve(t *testing.T, tr *Tracker, run workload.RunID, milliCPU int64, at time.Duration) {
	t.Helper()
	must.True(t, tr.Reserve(Reservation{Run: run, Owner: "d", Resources: resources(milliCPU), Estimate: 100 * ms}, at))
}

func TestNothingFitsBeforeRunsAreListed(t *testing.T) {
	tr := New(endpointCapacity)
	must.False(t, tr.Fits(resources(1)))
	tr.Reconcile(runningResponse(newRunID("old")), 1*ms, 2*ms)
	must.False(t, tr.Fits(resources(1)), must.Sprint("an unknown run uses an unknown capacity"))
	must.Eq(t, []workload.RunID{newRunID("old")}, tr.UnknownRuns())
	tr.Reconcile(workload.RenewalResponse{}, 3*ms, 4*ms)
	must.True(t, tr.Fits(resources(1)))
}

func TestCapacityIsHeldUntilEndIsListed(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 6000, 10*ms)
	must.False(t, tr.Fits(resources(6000)))
	tr.StartAccepted(newRunID("a"), 11*ms)
	must.True(t, tr.BeginStop(newRunID("a")))
	tr.StopAcked(newRunID("a"), 20*ms)
	must.False(t, tr.Fits(resources(6000)), must.Sprint("a run that is being stopped still holds capacity"))
	tr.Reconcile(runningResponse(newRunID("a")), 21*ms, 22*ms)
	must.False(t, tr.Fits(resources(6000)))
	released := tr.Reconcile(workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: 1, Run: newRunID("a"), Outcome: workload.OutcomeStopped}}}, 40*ms, 41*ms)
	must.Len(t, 1, released)
	must.Eq(t, workload.OutcomeStopped, released[0].Outcome)
	must.True(t, tr.Fits(resources(6000)))
	must.Eq(t, 1, tr.LastEndSequence())
}

// A start request without a response may be carried out later. Its capacity
// must stay reserved until a stop has been acknowledged and a request sent
// after that doesn't list the run.
func TestUnansweredStartKeepsReservation(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 6000, 10*ms)
	must.True(t, tr.MarkUnanswered(newRunID("a"), 15*ms))
	tr.Reconcile(workload.RenewalResponse{}, 60*ms, 61*ms)
	must.False(t, tr.Fits(resources(6000)), must.Sprint("the start may still be carried out"))
	must.True(t, tr.BeginStop(newRunID("a")))
	tr.Reconcile(workload.RenewalResponse{}, 70*ms, 90*ms)
	must.False(t, tr.Fits(resources(6000)), must.Sprint("the stop was not acknowledged"))
	tr.StopAcked(newRunID("a"), 80*ms)
	tr.Reconcile(workload.RenewalResponse{}, 75*ms, 95*ms)
	must.False(t, tr.Fits(resources(6000)), must.Sprint("the request was sent before the acknowledgement"))
	released := tr.Reconcile(workload.RenewalResponse{}, 81*ms, 96*ms)
	must.Len(t, 1, released)
	must.Eq(t, workload.Outcome(0), released[0].Outcome)
	must.True(t, tr.Fits(resources(6000)))
}

// The response to a start request may be lost although the run started.
func TestListedRunIsRunningDespiteLostStartResponse(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 6000, 10*ms)
	tr.MarkUnanswered(newRunID("a"), 15*ms)
	tr.Reconcile(runningResponse(newRunID("a")), 60*ms, 61*ms)
	res, found := tr.Reservation(newRunID("a"))
	must.True(t, found)
	must.Eq(t, Running, res.State)
}

// A response that was overtaken by a newer one still lists a run that has
// ended. The run must not count as unknown.
func TestOvertakenResponseAddsNoUnknownRun(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 1000, 10*ms)
	tr.StartAccepted(newRunID("a"), 11*ms)
	tr.Reconcile(workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: 1, Run: newRunID("a"), Outcome: workload.OutcomeDone}}}, 50*ms, 52*ms)
	tr.Reconcile(runningResponse(newRunID("a")), 40*ms, 53*ms)
	must.True(t, tr.AcceptsStarts())
	tr.Reconcile(runningResponse(newRunID("a")), 60*ms, 61*ms)
	must.False(t, tr.AcceptsStarts(), must.Sprint("it was listed again in a request sent after its end"))
}

func TestEndIsProcessedOnce(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 1000, 10*ms)
	ended := workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: 1, Run: newRunID("a"), Outcome: workload.OutcomeDone}}}
	must.Len(t, 1, tr.Reconcile(ended, 20*ms, 21*ms))
	must.Len(t, 0, tr.Reconcile(ended, 30*ms, 31*ms))
}

func TestAcceptedRunNotListedIsReleased(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 1000, 10*ms)
	tr.StartAccepted(newRunID("a"), 30*ms)
	must.Len(t, 0, tr.Reconcile(workload.RenewalResponse{}, 20*ms, 31*ms), must.Sprint("the request was sent before the start was accepted"))
	must.Len(t, 1, tr.Reconcile(workload.RenewalResponse{}, 40*ms, 41*ms))
}

// While renewals get no response, the progress of runs is unknown. They must
// not count as stalled.
func TestMissingResponsesAreNotAStall(t *testing.T) {
	tr := newSyncedTracker()
	must.True(t, tr.Reserve(Reservation{Run: newRunID("a"), Resources: resources(1000), Estimate: time.Second}, 0))
	tr.StartAccepted(newRunID("a"), 1*ms)
	tr.Reconcile(workload.RenewalResponse{Running: []workload.RunProgress{{Run: newRunID("a"), Percent: 10}}}, 99*ms, 100*ms)
	must.SliceEmpty(t, tr.NewlyStalled(100*ms))
	must.SliceEmpty(t, tr.NewlyStalled(700*ms), must.Sprint("600 ms without a response say nothing about the run"))
	tr.Reconcile(workload.RenewalResponse{Running: []workload.RunProgress{{Run: newRunID("a"), Percent: 70}}}, 700*ms, 701*ms)
	must.SliceEmpty(t, tr.NewlyStalled(701*ms))
}

// A runner that was suspended reads a response from before. Its runs must neither count as
// stalled nor as slow, or they would be moved, and their work done again.
func TestResponseReadAfterASuspensionShowsNoSpeed(t *testing.T) {
	const suspendedFor = time.Second
	tr := newSyncedTracker()
	all := []workload.RunID{newRunID("a"), newRunID("b"), newRunID("c")}
	respond := func(percent float64, sentAt, at time.Duration) {
		var resp workload.RenewalResponse
		for _, run := range all {
			resp.Running = append(resp.Running, workload.RunProgress{Run: run, Percent: percent})
		}
		tr.Reconcile(resp, sentAt, at)
	}
	for _, run := range all {
		must.True(t, tr.Reserve(Reservation{Run: run, Resources: resources(100), Estimate: time.Second}, 0))
		tr.StartAccepted(run, ms)
	}
	respond(0, 2*ms, 5*ms)
	respond(0, 5*ms, 8*ms)
	respond(0, 8*ms, 8*ms+suspendedFor)
	must.SliceEmpty(t, tr.NewlyStalled(8*ms+suspendedFor))
	must.False(t, tr.Slow())
	must.Greater(t, 0.9, tr.Speed())
	respond(100, 8*ms+suspendedFor, 10*ms+suspendedFor)
	must.SliceEmpty(t, tr.NewlyStalled(10*ms+suspendedFor))
}

func TestRunWithoutProgressIsStalledOnce(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 1000, 0)
	tr.StartAccepted(newRunID("a"), 1*ms)
	for at := 50 * ms; at <= 350*ms; at += 50 * ms {
		tr.Reconcile(workload.RenewalResponse{Running: []workload.RunProgress{{Run: newRunID("a"), Percent: 10}}}, at-ms, at)
	}
	must.Eq(t, []workload.RunID{newRunID("a")}, tr.NewlyStalled(350*ms))
	must.SliceEmpty(t, tr.NewlyStalled(400*ms))
}

// An endpoint becomes six times slower: a long run must be moved, and one that
// is nearly done must stay.
func TestLongRunIsMovedFromSlowEndpoint(t *testing.T) {
	const slowFrom, slowBy = 250 * ms, 6
	tr := newSyncedTracker()
	long, short := newRunID("long"), newRunID("short")
	estimates := map[workload.RunID]time.Duration{long: 900 * ms, short: 300 * ms}
	for r, estimate := range estimates {
		must.True(t, tr.Reserve(Reservation{Run: r, Resources: resources(100), Estimate: estimate}, 0))
		tr.StartAccepted(r, 1*ms)
	}
	respond := func(at time.Duration) {
		done := min(at, slowFrom) + max(0, at-slowFrom)/slowBy
		var resp workload.RenewalResponse
		for r, estimate := range estimates {
			resp.Running = append(resp.Running, workload.RunProgress{Run: r, Percent: 100 * done.Seconds() / estimate.Seconds()})
		}
		tr.Reconcile(resp, at-ms, at)
	}
	var stalled []workload.RunID
	for at := 50 * ms; at <= 500*ms; at += 50 * ms {
		respond(at)
		if at <= slowFrom {
			must.SliceEmpty(t, tr.NewlyStalled(at))
		}
		stalled = append(stalled, tr.NewlyStalled(at)...)
	}
	must.Less(t, slowThreshold, tr.Speed())
	must.Eq(t, []workload.RunID{long}, stalled)
	tr.DiscardFormerSpeed()
	must.InDelta(t, 1.0/slowBy, tr.Speed(), 0.03, must.Sprint("a third of the measurement stems from before"))
}

// A single job that takes longer than its estimate must not mark the endpoint
// as slow.
func TestSingleSlowJobIsNotMoved(t *testing.T) {
	tr := newSyncedTracker()
	for i := range 4 {
		r := workload.RunID{Task: workload.TaskID{Job: "single", Index: i}.String(), Attempt: 1}
		must.True(t, tr.Reserve(Reservation{Run: r, Resources: resources(100), Estimate: 300 * ms}, 0))
		tr.StartAccepted(r, 1*ms)
	}
	for at := 50 * ms; at <= 500*ms; at += 50 * ms {
		var resp workload.RenewalResponse
		for i := range 4 {
			r := workload.RunID{Task: workload.TaskID{Job: "single", Index: i}.String(), Attempt: 1}
			resp.Running = append(resp.Running, workload.RunProgress{Run: r, Percent: at.Seconds() / 1.2 * 100})
		}
		tr.Reconcile(resp, at-ms, at)
		must.SliceEmpty(t, tr.NewlyStalled(at))
	}
	must.Less(t, slowThreshold, tr.Speed())
}

func TestNothingFitsAfterReleaseAllUntilSynced(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 1000, 10*ms)
	must.Len(t, 1, tr.ReleaseAll(20*ms))
	tr.RequireSync(0)
	must.False(t, tr.Fits(resources(1)))
}

// In any order of responses, the used capacity must be the sum of the
// reservations and within the endpoint's capacity.
func TestUsedCapacityIsSumOfReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newSyncedTracker()
		now := 10 * ms
		var known []workload.RunID
		sequence := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += ms
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r := newRunID(fmt.Sprint("t", i))
				if tr.Fits(resources(1000)) && tr.Reserve(Reservation{Run: r, Resources: resources(1000)}, now) {
					known = append(known, r)
				}
			case 1, 2:
				if len(known) > 0 {
					r := rapid.SampledFrom(known).Draw(t, "run")
					tr.MarkUnanswered(r, now)
					tr.BeginStop(r)
					tr.StopAcked(r, now)
				}
			case 3:
				if len(known) > 0 {
					tr.StartAccepted(rapid.SampledFrom(known).Draw(t, "run"), now)
				}
			case 4:
				if len(known) > 0 {
					sequence++
					r := rapid.SampledFrom(known).Draw(t, "run")
					tr.Reconcile(workload.RenewalResponse{Running: runningResponse(known...).Running, Ended: []workload.EndedRun{{Sequence: sequence, Run: r, Outcome: workload.OutcomeDone}}}, now-ms, now)
				}
			case 5:
				tr.Reconcile(workload.RenewalResponse{}, now-ms, now)
			}
			if got, want := tr.Used(), resources(1000).Times(tr.RunCount()); got != want {
				t.Fatalf("used %+v, but the %d runs hold %+v", got, tr.RunCount(), want)
			}
			if !tr.Used().Fits(endpointCapacity) {
				t.Fatalf("used %+v exceeds the capacity", tr.Used())
			}
		}
	})
}

// Two overflow runs that take six times their estimate: they must neither mark the
// endpoint as slow again after its suspension, nor be moved to endpoints that have no
// capacity for them, unless they make no progress at all.
func TestOverflowRunsAreMovedOnlyWithoutProgress(t *testing.T) {
	tr := newSyncedTracker()
	runs := []workload.RunID{newRunID("a"), newRunID("b")}
	for _, r := range runs {
		must.True(t, tr.Reserve(Reservation{Run: r, Resources: resources(100), Estimate: 300 * ms, Overflow: true}, 0))
		tr.StartAccepted(r, 1*ms)
	}
	for at := 50 * ms; at <= 800*ms; at += 50 * ms {
		percent := min(at, 500*ms).Seconds() / 1.8 * 100
		tr.Reconcile(workload.RenewalResponse{Running: []workload.RunProgress{{Run: runs[0], Percent: percent}, {Run: runs[1], Percent: percent}}}, at-ms, at)
		if at > 500*ms {
			continue
		}
		must.SliceEmpty(t, tr.NewlyStalled(at))
		must.False(t, tr.Slow())
	}
	must.Less(t, slowThreshold, tr.Speed())
	must.SliceLen(t, 2, tr.NewlyStalled(800*ms))
}

// Callers may send jobs without estimates, whose progress says nothing about the speed.
// If it counted as work of no duration, their jobs would suspend every endpoint.
func TestRunsWithoutEstimateDontMakeEndpointSlow(t *testing.T) {
	tr := newSyncedTracker()
	for i := range 4 {
		run := newRunID(fmt.Sprint(i))
		must.True(t, tr.Reserve(Reservation{Run: run, Owner: "d", Resources: resources(1000)}, 10*ms))
		tr.StartAccepted(run, 11*ms)
	}
	for i := range 4 {
		now := time.Duration(100+100*i) * ms
		var resp workload.RenewalResponse
		for run := range tr.reservations {
			resp.Running = append(resp.Running, workload.RunProgress{Run: run, Percent: float64(20 + 20*i)})
		}
		tr.Reconcile(resp, now, now)
		must.False(t, tr.Slow())
		must.Eq(t, 1, tr.Speed())
	}
}

// An endpoint that reports a progress out of bounds must neither appear fast nor,
// once the run is done, as working backwards.
func TestProgressOutOfBoundsIsClamped(t *testing.T) {
	for _, percent := range []float64{-1e300, 1e300} {
		tr := newSyncedTracker()
		run := newRunID("a")
		reserve(t, tr, run, 1000, 10*ms)
		tr.StartAccepted(run, 11*ms)
		resp := runningResponse(run)
		resp.Running[0].Percent = percent
		tr.Reconcile(resp, 100*ms, 100*ms)
		must.Between(t, 0, tr.Speed(), 2)
		tr.Reconcile(workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: 1, Run: run, Outcome: workload.OutcomeDone}}}, 150*ms, 150*ms)
		must.Between(t, 0, tr.Speed(), 2)
	}
}

// The lease of an endpoint must not be extended for a run that must end, unless its stop is
// acknowledged. Otherwise an endpoint that leaves stops unanswered would run it on.
func TestRevokedRunHoldsUpTheLease(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 1000, 10*ms)
	tr.StartAccepted(newRunID("a"), 11*ms)
	tr.Revoke(newRunID("a"), 50*ms)
	tr.Revoke(newRunID("a"), 70*ms)
	must.False(t, tr.MustLapse(50*ms), must.Sprint("it may go on until then"))
	must.True(t, tr.MustLapse(51*ms), must.Sprint("a later revocation doesn't allow more"))
	tr.StopAcked(newRunID("a"), 60*ms)
	must.False(t, tr.MustLapse(61*ms))
}

// A higher fencing token proves that an unanswered start won't be carried out, but only once
// the endpoint has seen it, and only if it doesn't list the run then.
func TestFencedStartIsReleased(t *testing.T) {
	for _, c := range []struct {
		name  string
		resp  workload.RenewalResponse
		freed bool
	}{
		{"an equal token", workload.RenewalResponse{FencingToken: 7}, false},
		{"a higher token, run listed", func() workload.RenewalResponse {
			resp := runningResponse(newRunID("a"))
			resp.FencingToken = 8
			return resp
		}(), false},
		{"a higher token", workload.RenewalResponse{FencingToken: 8}, true},
	} {
		tr := newSyncedTracker()
		must.True(t, tr.Reserve(Reservation{Run: newRunID("a"), Resources: resources(1000), FencingToken: 7}, 10*ms))
		must.Len(t, 0, tr.Reconcile(workload.RenewalResponse{FencingToken: 8}, 11*ms, 12*ms), must.Sprint("the start is still under way"))
		must.True(t, tr.MarkUnanswered(newRunID("a"), 15*ms))
		must.True(t, tr.BeginStop(newRunID("a")))
		tr.Revoke(newRunID("a"), 15*ms)
		must.False(t, tr.NeedsFence(7, 20*ms), must.Sprint("its stop may be answered"))
		tr.StopUnanswered(newRunID("a"))
		must.True(t, tr.NeedsFence(7, 20*ms))
		must.False(t, tr.NeedsFence(8, 20*ms))
		must.Eq(t, c.freed, len(tr.Reconcile(c.resp, 21*ms, 22*ms)) == 1, must.Sprint(c.name))
		must.Eq(t, !c.freed, tr.MustLapse(23*ms), must.Sprint(c.name))
	}
}

// A renewal that waits at the endpoint lists runs that began long after it was sent, and an
// earlier list may arrive after it. The run must not count as ended because that one lacks it.
func TestRunIsNotLostByAnEarlierList(t *testing.T) {
	tr := newSyncedTracker()
	reserve(t, tr, newRunID("a"), 6000, 10*ms)
	must.True(t, tr.MarkUnanswered(newRunID("a"), 15*ms))
	must.Len(t, 0, tr.Reconcile(runningResponse(newRunID("a")), 20*ms, 100*ms))
	must.Len(t, 0, tr.Reconcile(workload.RenewalResponse{}, 80*ms, 110*ms), must.Sprint("requested before the list that has the run arrived"))
	must.False(t, tr.Fits(resources(6000)), must.Sprint("the run holds its capacity"))
	released := tr.Reconcile(workload.RenewalResponse{}, 101*ms, 120*ms)
	must.Len(t, 1, released, must.Sprint("requested after it"))
}

// A run of an earlier process of the runner must keep starts blocked until a list that was
// requested after one with it lacks it: an earlier list may arrive later.
func TestUnknownRunIsNotClearedByAnEarlierList(t *testing.T) {
	tr := newSyncedTracker()
	tr.Reconcile(runningResponse(newRunID("old")), 20*ms, 100*ms)
	must.False(t, tr.AcceptsStarts())
	tr.Reconcile(workload.RenewalResponse{}, 80*ms, 110*ms)
	must.False(t, tr.AcceptsStarts(), must.Sprint("requested before the list that has the run arrived"))
	must.True(t, tr.MustLapse(110*ms))
	tr.Reconcile(workload.RenewalResponse{}, 101*ms, 120*ms)
	must.True(t, tr.AcceptsStarts(), must.Sprint("requested after it"))
}

// After an endpoint was restarted or unreachable, starts that were requested before may still
// begin until it has seen a higher fencing token. A list that was requested with the lower one
// must not prove that they aren't there, nor unblock further starts.
func TestListWithALowerTokenProvesNoAbsence(t *testing.T) {
	tr := newSyncedTracker()
	must.True(t, tr.Reserve(Reservation{Run: newRunID("a"), Owner: "d", Resources: resources(1000), FencingToken: 5}, 10*ms))
	must.True(t, tr.MarkUnanswered(newRunID("a"), 15*ms))
	must.True(t, tr.BeginStop(newRunID("a")))
	tr.StopAcked(newRunID("a"), 20*ms)
	must.Eq(t, []workload.RunID{newRunID("a")}, tr.EndpointRestarted(true, 6), must.Sprint("the new process knows of no stop"))
	tr.StopAcked(newRunID("a"), 25*ms)
	must.Len(t, 0, tr.Reconcile(workload.RenewalResponse{FencingToken: 5}, 30*ms, 31*ms), must.Sprint("the start may begin after this"))
	must.False(t, tr.AcceptsStarts())
	must.Len(t, 1, tr.Reconcile(workload.RenewalResponse{FencingToken: 6}, 32*ms, 33*ms))
	must.True(t, tr.AcceptsStarts())
}

// A start request that is under way when the endpoint's process has ended may reach the next
// process. Its run must not be released before the request has returned and a later one has
// found no process.
func TestEndOfProcessReleasesOnlyReturnedStarts(t *testing.T) {
	tr := newSyncedTracker()
	for _, name := range []string{"accepted", "unanswered", "underway", "later"} {
		reserve(t, tr, newRunID(name), 1000, 10*ms)
	}
	tr.StartAccepted(newRunID("accepted"), 15*ms)
	tr.MarkUnanswered(newRunID("unanswered"), 18*ms)
	tr.StartAccepted(newRunID("later"), 21*ms)
	must.Len(t, 2, tr.ReleaseEnded(20*ms, 22*ms), must.Sprint("the accepted and the unanswered run"))
	tr.MarkUnanswered(newRunID("underway"), 25*ms)
	must.Len(t, 1, tr.ReleaseEnded(24*ms, 26*ms), must.Sprint("accepted before the second refusal was sent"))
	must.Len(t, 1, tr.ReleaseEnded(30*ms, 31*ms))
	must.Eq(t, workload.Resources{}, tr.Used())
}
