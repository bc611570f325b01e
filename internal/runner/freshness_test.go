package runner

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
)

// newPolicyRunner returns a runner with a policy that is not confirmed.
func newPolicyRunner(t *testing.T) *Runner {
	r := newTestRunner(t)
	r.policy.Apply(&policy.Snapshot{Revision: 4, Config: &policy.Config{}})
	return r
}

// A run must not be started on a policy that an operator may have changed longer ago than an
// evacuation may take, unless the store can't be reached from here.
func TestOldPolicyStartsNothing(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name        string
		confirmedAt time.Duration
		lostAt      time.Duration
		may         bool
	}{
		{"never confirmed", 0, 0, false},
		{"confirmed recently", now - 4*time.Second, 0, true},
		{"confirmed too long ago", now - 4100*time.Millisecond, 0, false},
		{"store lost recently", now - time.Minute, now - 2400*time.Millisecond, true},
		{"store lost too long ago", now - time.Minute, now - 2600*time.Millisecond, false},
		{"never confirmed, store lost", 0, now - time.Second, true},
	} {
		r := newPolicyRunner(t)
		r.policy.Confirm(4, c.confirmedAt)
		r.freshness.lostAt = c.lostAt
		must.Eq(t, c.may, r.mayActOnPolicy(now), must.Sprint(c.name))
		must.Eq(t, !c.may, r.freshness.wanted, must.Sprint(c.name))
	}
}

// A confirmation counts from the heartbeat that it refers to, so that no delay on its way makes
// the policy seem newer than it is; and only for a policy that the runner has.
func TestConfirmationCountsFromTheEchoedHeartbeat(t *testing.T) {
	now := clock.SinceBoot()
	sentAt := now - time.Second
	before, after, absurd := -int64(2_000_000), int64(300_000), int64(1<<62)
	for _, c := range []struct {
		name string
		beat *pb.DispatcherBeat
		want time.Duration
	}{
		{"no heartbeat", nil, 0},
		{"not confirmed", &pb.DispatcherBeat{EchoNs: int64(sentAt), PolicyRevision: 4}, 0},
		{"confirmed before it was received", &pb.DispatcherBeat{EchoNs: int64(sentAt), PolicyRevision: 4, ConfirmedUs: &before}, sentAt - 2*time.Second},
		{"confirmed after it was received", &pb.DispatcherBeat{EchoNs: int64(sentAt), PolicyRevision: 3, ConfirmedUs: &after}, sentAt + 300*time.Millisecond},
		{"a policy that the runner lacks", &pb.DispatcherBeat{EchoNs: int64(sentAt), PolicyRevision: 5, ConfirmedUs: &after}, 0},
		{"an echo that was never sent", &pb.DispatcherBeat{EchoNs: int64(now + time.Hour), PolicyRevision: 4, ConfirmedUs: &after}, 0},
		{"a time in the future", &pb.DispatcherBeat{EchoNs: int64(sentAt), PolicyRevision: 4, ConfirmedUs: &absurd}, now},
	} {
		r := newPolicyRunner(t)
		r.confirmPolicy(c.beat, now)
		_, at := r.policy.Confirmed()
		must.Eq(t, c.want, at, must.Sprint(c.name))
	}
}

// The policy is read from the store while dispatchers are connected and none confirms it, soon
// if an order waits for that, and again in time after a failure.
func TestPolicyIsReadWhenNobodyConfirmsIt(t *testing.T) {
	const now = time.Hour
	r := newTestRunner(t)
	r.freshness.connectedSince, r.freshness.readAge = now-time.Minute, 3*time.Second
	must.False(t, r.policyReadDue(now), must.Sprint("without a policy no order is accepted"))
	r.policy.Apply(&policy.Snapshot{Revision: 4, Config: &policy.Config{}})
	must.True(t, r.policyReadDue(now))
	r.policy.Confirm(4, now-2*time.Second)
	must.False(t, r.policyReadDue(now))
	must.True(t, r.policyReadDue(now+time.Second))
	r.freshness.nextReadAt = now + 2*time.Second
	must.False(t, r.policyReadDue(now+time.Second), must.Sprint("a read has just failed"))
	r.freshness.wanted = true
	must.True(t, r.policyReadDue(now+3*time.Second))
	r.freshness.wanted, r.freshness.nextReadAt, r.freshness.connectedSince = false, 0, 0
	must.False(t, r.policyReadDue(now+time.Minute), must.Sprint("without dispatchers there are no orders"))
}

// The runners of a fleet must not all read the store at once when its dispatchers have lost it,
// nor when it is back: a few read early enough to spare the others the read.
func TestFewRunnersReadFirst(t *testing.T) {
	const (
		runners = 11_000
		// spread is the time until a confirmation has reached the other runners.
		spread     = checkInterval + 20*time.Millisecond
		maxReaders = 40
	)
	timeout := defaultEvacuationTimeout
	rng := rand.New(rand.NewPCG(1, 2))
	ages := make([]time.Duration, runners)
	for i := range ages {
		ages[i] = drawReadAge(timeout, rng.Float64())
		must.Between(t, fraction(timeout, minReadAgeFraction), ages[i], fraction(timeout, maxReadAgeFraction))
	}
	slices.Sort(ages)
	readers, _ := slices.BinarySearch(ages, ages[0]+spread)
	t.Logf("%d of %d runners read before the first answer has spread", readers, runners)
	must.Less(t, maxReaders, readers)
}
