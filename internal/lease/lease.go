// Package lease holds the times that dispatchers and runners must agree on, so
// that no task runs twice at once when one of them is lost.
package lease

import "time"

const (
	// DispatcherTTL is how long a runner lets a dispatcher's runs go on after
	// the newest of its own heartbeats that the dispatcher has echoed.
	DispatcherTTL = 600 * time.Millisecond
	// endpointTTLFraction is the part of the longest lease that runners ask their
	// endpoint for. What remains is how much earlier a lost endpoint is known
	// to have stopped.
	endpointTTLFraction = 0.5
	// clockDriftFactor is how much slower an endpoint's clock may run.
	clockDriftFactor = 1.02
	// stopMargin is the time that stopping may take beside the leases.
	stopMargin = 250 * time.Millisecond
)

// EndpointTTL is the lease that a runner asks for where longest is the longest
// one granted.
func EndpointTTL(longest time.Duration) time.Duration {
	return time.Duration(endpointTTLFraction * float64(longest))
}

// MaxRemaining is how long a lease with so much left on the endpoint's clock can last.
func MaxRemaining(left time.Duration) time.Duration {
	return time.Duration(float64(left) * clockDriftFactor)
}

// RunnerLossTimeout is how long after the newest echoed heartbeat a dispatcher's runs at a
// runner that it has lost can go on: the runner stops them, or if it is gone
// as well, its endpoint's lease runs out.
func RunnerLossTimeout(longest time.Duration) time.Duration {
	return DispatcherTTL + MaxRemaining(EndpointTTL(longest)) + stopMargin
}
