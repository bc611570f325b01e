package placement

import "time"

const (
	// startupTimeout bounds how long a dispatcher counts as starting.
	startupTimeout = time.Second
	// minKnownFraction is the fraction of a dispatcher's runners that must be
	// usable before their capacity is representative.
	minKnownFraction = 0.8
)

// CapacityKnown reports whether a dispatcher knows the capacity of enough of its
// runners to refuse jobs for lack of it. After all processes have been restarted
// at once, callers send the jobs that were lost again while each dispatcher has
// connections to a few runners only: judged by those, most jobs would be refused
// although all endpoints are empty.
func CapacityKnown(usable, linked int, sinceStart time.Duration) bool {
	if sinceStart >= startupTimeout {
		return true
	}
	return usable > 0 && float64(usable) >= minKnownFraction*float64(linked)
}
