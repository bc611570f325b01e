package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// observeRuns adds runs at the speed, each of a job of its own. With spread, run times
// vary and every 33rd takes seven times as long.
func (r *Rating) observeRuns(n int, speed float64, spread *rand.Rand) {
	for i := range n {
		factor := 1.0
		if spread != nil {
			factor = 0.8 + 0.4*spread.Float64()
		}
		if spread != nil && i%33 == 20 {
			factor = 7
		}
		r.Observe(fmt.Sprint(n, speed, i), 100*ms, time.Duration(factor/speed*float64(100*ms)))
	}
}

func (r *Rating) speed() float64 { s, _ := r.Value(); return s }

// A rating that followed single long runs would move placement between equal endpoints.
func TestRatingIsRobustAgainstLongRuns(t *testing.T) {
	for seed := range uint64(20) {
		r := Rating{}
		r.observeRuns(1000, 1, rand.New(rand.NewPCG(seed, 1)))
		must.Between(t, 0.9, r.speed(), 1.1)
	}
}

// The estimate of a job is wrong for all of its tasks, which may share an endpoint.
func TestRatingIsRobustAgainstTwoWrongEstimates(t *testing.T) {
	for _, factor := range []float64{0.1, 10} {
		r := Rating{}
		r.observeRuns(100, 1, nil)
		for i := range 16 {
			r.Observe([]string{"a", "b"}[i%2], 100*ms, time.Duration(factor*float64(100*ms)))
		}
		must.Between(t, 1/1.2, r.speed(), 1.2)
	}
}

func TestRatingAdaptsWithinSixtyRuns(t *testing.T) {
	for _, speed := range []float64{0.6, 1.6} {
		r := Rating{}
		_, known := r.Value()
		must.False(t, known)
		r.observeRuns(60, speed, nil)
		must.Between(t, 0.88*speed, r.speed(), 1.15*speed)
		_, known = r.Value()
		must.True(t, known)
	}
}

// After a restart of the runner's process, endpoints of speed 0.6 were rated 0.8 from
// the first known rating on, and got jobs that miss their objective there. Equal
// endpoints must not be told apart by so few runs.
func TestFirstRatingIsNearTheSpeed(t *testing.T) {
	for _, speed := range []float64{0.6, 1, 1.6} {
		for seed := range uint64(20) {
			r := Rating{}
			r.observeRuns(minRatedRuns, speed, rand.New(rand.NewPCG(seed, 1)))
			must.Between(t, speed/1.25, r.speed(), speed*1.25)
		}
	}
}

// An endpoint that turns fast and slow by turns must be rated in between, so that it
// is not preferred at each fast turn.
func TestRatingOfUnsteadyEndpoint(t *testing.T) {
	r := Rating{}
	for range 40 {
		r.observeRuns(10, 1.6, nil)
		r.observeRuns(10, 0.625, nil)
	}
	must.Between(t, 0.8, r.speed(), 1.2)
}

// Runs without a plausible time must neither count nor make the rating infinite.
func TestRatingIsBounded(t *testing.T) {
	r := Rating{}
	r.Observe("a", 0, 100*ms)
	r.Observe("a", 100*ms, 0)
	r.Observe("a", 100*ms, -ms)
	must.Eq(t, Rating{}, r)
	r.observeRuns(1000, 1e6, nil)
	must.Between(t, maxRating/1.01, r.speed(), maxRating*1.01)
}

// A new process of the endpoint may run on another host.
func TestRatingEndsWithTheIncarnation(t *testing.T) {
	tr := newSyncedTracker()
	for i := range minRatedRuns {
		run := newRunID(fmt.Sprint("j", i))
		at := time.Duration(i+1) * time.Second
		reserve(t, tr, run, 100, at)
		tr.Reconcile(workload.RenewalResponse{Ended: []workload.EndedRun{{Sequence: int64(i + 1), Run: run, Outcome: workload.OutcomeDone}}}, at+49*ms, at+50*ms)
	}
	rating, known := tr.Rating()
	must.True(t, known)
	must.Between(t, 1.5, rating, 1.75)
	tr.EndpointRestarted(false, 0)
	_, known = tr.Rating()
	must.False(t, known)
}
