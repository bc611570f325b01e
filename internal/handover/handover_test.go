package handover

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const tick = 20 * time.Millisecond

// A single pause of the process must not make it forward jobs.
func TestSinglePauseDoesNotStarve(t *testing.T) {
	for _, slack := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, time.Second} {
		var c Controller
		must.False(t, c.Tick(10*time.Second, slack), must.Sprint(slack))
		must.False(t, c.Starved())
		must.Eq(t, 0, c.Fraction())
	}
}

// The state must not change at each tick while the lag is near the limit, which is 10 ms
// for jobs with an unknown slack.
func TestStarvedStateHasHysteresis(t *testing.T) {
	var c Controller
	changes := 0
	for range 200 {
		if c.Tick(11*time.Millisecond, 0) {
			changes++
		}
	}
	for i := range 200 {
		if c.Tick(8*time.Millisecond+time.Duration(i%2)*4*time.Millisecond, 0) {
			changes++
		}
	}
	must.True(t, c.Starved())
	must.Eq(t, 1, changes)
	for range 200 {
		c.Tick(4*time.Millisecond, 0)
	}
	must.False(t, c.Starved())
	must.Eq(t, 0, c.Fraction())
}

// Jobs with less slack are late at a smaller lag.
func TestLimitFollowsTheSmallestSlack(t *testing.T) {
	low := MinSlack([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond})
	must.Eq(t, 60*time.Millisecond, low)
	var c Controller
	for range 200 {
		c.Tick(7*time.Millisecond, low)
	}
	must.True(t, c.Starved())
}

func TestSomeJobsAreNeverForwarded(t *testing.T) {
	c := Controller{fraction: maxFraction}
	slack := time.Second
	must.True(t, c.Forward(Job{Slack: slack}, 0.89))
	must.False(t, c.Forward(Job{Slack: slack}, 0.9), must.Sprint("no job probes what the process can do"))
	must.False(t, c.Forward(Job{Slack: slack, Forwarded: true}, 0), must.Sprint("a job is forwarded twice"))
	must.False(t, c.Forward(Job{Slack: slack, Suspect: true}, 0))
	must.False(t, c.Forward(Job{Slack: 9 * time.Millisecond}, 0))
	must.False(t, (&Controller{}).Forward(Job{Slack: slack}, 0))
}

// replayStarved replays jobs that arrive at a process whose CPU time is enough for half of
// them, and returns how many were handled so late that they used up their part of the
// slack, and how many were forwarded.
func replayStarved(forward bool) (late, forwarded int) {
	const arrivals, handled, ticks, slack = 6, 3, 500, 100 * time.Millisecond
	var c Controller
	rng := rand.New(rand.NewPCG(1, 1))
	backlog := 0
	for range ticks {
		lag := time.Duration(max(backlog-arrivals, 0)) * tick / handled
		c.Tick(lag, slack)
		for range arrivals {
			if forward && c.Forward(Job{Slack: slack}, rng.Float64()) {
				forwarded++
				continue
			}
			backlog++
			if handlingsPerJob*lag > time.Duration(slackFraction*float64(slack)) {
				late++
			}
		}
		backlog = max(backlog-handled, 0)
	}
	return late, forwarded
}

// A process with too little CPU time must forward what it can't handle in time, and go on
// handling the rest.
func TestStarvedProcessForwardsWhatItCannotHandle(t *testing.T) {
	lateWithout, _ := replayStarved(false)
	late, forwarded := replayStarved(true)
	t.Logf("late of 3000: %d without forwarding, %d with %d forwarded", lateWithout, late, forwarded)
	must.Less(t, lateWithout/3, late)
	must.Less(t, 2400, forwarded, must.Sprint("nearly all jobs were forwarded"))
}

// Of any 30 s, a process may report not ready for a tenth at most.
func TestUnreadyAtMostATenthOfAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Readiness
		var unready []bool
		fraction := 0.0
		for range 4000 {
			if rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				fraction = rapid.SampledFrom([]float64{0, 0.4, 0.6, 0.9, 0.9, 0.9}).Draw(t, "fraction")
			}
			now := time.Duration(len(unready)) * tick
			r.Update(fraction, now)
			unready = append(unready, r.Unready(now))
		}
		window, sum := int(30*time.Second/tick), 0
		for i, u := range unready {
			if u {
				sum++
			}
			if i >= window && unready[i-window] {
				sum--
			}
			if sum > window/10 {
				t.Fatalf("%d of %d ticks not ready", sum, window)
			}
		}
	})
}

func TestUnreadyAfterOneSecondOfForwarding(t *testing.T) {
	var r Readiness
	r.Update(0.5, 0)
	r.Update(0.5, 980*time.Millisecond)
	must.False(t, r.Unready(980*time.Millisecond))
	r.Update(0.5, time.Second)
	must.True(t, r.Unready(time.Second))
	must.False(t, r.Unready(4*time.Second), must.Sprint("not ready for too long between two ticks"))
	r.Update(0.4, 1100*time.Millisecond)
	must.False(t, r.Unready(1100*time.Millisecond))
}

func firstOf(int) int { return 0 }

func TestChooseTheLessLoadedPeer(t *testing.T) {
	names := []string{"a", "b"}
	var p Peers
	p.Report("a", 3000, 0, 0, 0)
	p.Report("b", 1000, 900, 0, 0)
	must.Eq(t, 1, p.Choose(names, time.Second, firstOf), must.Sprint("the lag decides"))
	p.Report("a", 1000, 1000, 0, time.Second)
	p.Report("b", 1000, 900, 0, time.Second)
	must.Eq(t, 1, p.Choose(names, time.Second, firstOf), must.Sprint("at equal lag, the load decides"))
	must.Eq(t, 0, p.Choose(names, 3*time.Second+1, firstOf), must.Sprint("old reports count as unknown"))
	must.Eq(t, -1, p.Choose(nil, 0, firstOf))
}

// A peer that can't take jobs must not be asked again at once.
func TestExcludedPeersAreNotChosen(t *testing.T) {
	names := []string{"a", "b"}
	var p Peers
	p.Exclude("a", 0)
	must.Eq(t, 1, p.Choose(names, 0, firstOf))
	p.Report("b", 11_000, 0, 0, 0)
	must.Eq(t, -1, p.Choose(names, 0, firstOf), must.Sprint("the other is starved"))
	must.Eq(t, 0, p.Choose(names, exclusionTime, firstOf))
	must.MapLen(t, 0, p.Known(reportLifetime+1), must.Sprint("old entries are kept"))
}

func TestMalformedReportsAreBounded(t *testing.T) {
	var p Peers
	for _, load := range []float64{math.NaN(), math.Inf(1), -1} {
		p.Report("a", -1<<63, load, 0, 0)
		must.Eq(t, Peer{Reported: true}, p.Known(0)["a"])
	}
	p.Report("a", 1<<62, 0, 0, 0)
	must.Eq(t, maxTickLateness, p.Known(0)["a"].Lag)
}

// BenchmarkDecision measures the decision about one job among many peers.
func BenchmarkDecision(b *testing.B) {
	var p Peers
	var names []string
	for i := range 700 {
		names = append(names, string(rune('a'+i)))
		p.Report(names[i], int64(i%9)*1000, float64(i), 0, 0)
	}
	c := Controller{fraction: maxFraction}
	for b.Loop() {
		if c.Forward(Job{Slack: time.Second}, 0) {
			p.Choose(names, 0, rand.IntN)
		}
	}
}
