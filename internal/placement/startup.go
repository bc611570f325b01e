package placement

import "time"

// startupTimeout is how long after its start a dispatcher expects runners that
// it has not connected to yet.
const startupTimeout = time.Second

// StartingCapacity returns the capacity that a dispatcher expects to have, in
// thousandths of a core, from the capacity of those of its linked runners that
// are usable, and whether anything is known of it. After all processes have been
// restarted at once, callers send the jobs that were lost again while each
// dispatcher has connections to a few runners only: judged by those, most jobs
// would be refused although all endpoints are empty.
func StartingCapacity(usableMilliCPU int64, usable, linked int, sinceStart time.Duration) (int64, bool) {
	switch {
	case sinceStart >= startupTimeout:
		return usableMilliCPU, true
	case usable == 0:
		return 0, false
	}
	return usableMilliCPU / int64(usable) * int64(max(linked, usable)), true
}
