// Package lease holds the lease durations on which dispatchers and runners must
// agree, so that no task runs twice at the same time when one of them is lost.
package lease

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats of a runner to a
	// dispatcher that has runs there.
	HeartbeatInterval = 100 * time.Millisecond
	// IdleHeartbeatInterval is the time between two heartbeats of a runner to
	// any other dispatcher. An order must reach the runner within DispatcherTTL
	// of the heartbeat that it echoes, so it is well below that.
	IdleHeartbeatInterval = 300 * time.Millisecond
	// DispatcherTTL is how long a runner lets a dispatcher's runs continue
	// after it sent the newest of its heartbeats that the dispatcher has
	// echoed.
	DispatcherTTL = 600 * time.Millisecond
	// endpointTTLFraction is the fraction of the longest lease that runners
	// request from their endpoint. A shorter lease means that a lost endpoint
	// is known earlier to have stopped its runs.
	endpointTTLFraction = 0.5
	// clockDriftFactor bounds how many times longer a duration on an endpoint's
	// clock may last, because that clock may run slower than the runner's.
	clockDriftFactor = 1.02
	// stopMargin is the time that stopping runs may take after a lease has
	// expired.
	stopMargin = 250 * time.Millisecond
)

// EndpointTTL returns the lease duration that a runner requests, where maxTTL
// is the longest one granted.
func EndpointTTL(maxTTL time.Duration) time.Duration {
	return time.Duration(endpointTTLFraction * float64(maxTTL))
}

// MaxRemaining returns the longest time for which a lease can still last, from
// the time remaining on the endpoint's clock.
func MaxRemaining(remaining time.Duration) time.Duration {
	return time.Duration(float64(remaining) * clockDriftFactor)
}

// RunnerLossTimeout returns how long after the newest echoed heartbeat the runs
// at an unreachable runner can continue: the runner stops them, or, if it has
// failed as well, its endpoint's lease expires.
func RunnerLossTimeout(maxTTL time.Duration) time.Duration {
	return DispatcherTTL + MaxRemaining(EndpointTTL(maxTTL)) + stopMargin
}
