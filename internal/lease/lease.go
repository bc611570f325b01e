// Package lease holds the times that dispatchers and runners must agree on, so
// that no task runs twice at once when one of them is lost.
package lease

import "time"

const (
	// Dispatcher is how long a runner lets a dispatcher's runs go on after
	// the newest of its own heartbeats that the dispatcher has echoed.
	Dispatcher = 600 * time.Millisecond
	// endpointShare is the part of the longest lease that runners ask their
	// endpoint for. What remains is how much earlier a lost endpoint is known
	// to have stopped.
	endpointShare = 0.5
	// clockError is how much slower an endpoint's clock may run.
	clockError = 1.02
	// margin is the time that stopping may take beside the leases.
	margin = 250 * time.Millisecond
)

// Endpoint is the lease that a runner asks for where longest is the longest
// one granted.
func Endpoint(longest time.Duration) time.Duration {
	return time.Duration(endpointShare * float64(longest))
}

// Lapse is how long a lease with so much left on the endpoint's clock can last.
func Lapse(left time.Duration) time.Duration {
	return time.Duration(float64(left) * clockError)
}

// Lost is how long after the newest echoed heartbeat a dispatcher's runs at a
// runner that it has lost can go on: the runner stops them, or if it is gone
// as well, its endpoint's lease runs out.
func Lost(longest time.Duration) time.Duration {
	return Dispatcher + Lapse(Endpoint(longest)) + margin
}
