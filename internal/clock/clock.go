// Package clock reads the time since boot, which includes the time that the
// machine is suspended. Leases between processes are measured with it: the Go
// runtime's monotonic clock stops during a suspension, so an expired lease
// would look valid.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// simulated is the clock of a test in simulated time, or nil.
var simulated atomic.Pointer[func() time.Duration]

// Simulate makes SinceBoot return a test's simulated time until restore is
// called.
func Simulate(now func() time.Duration) (restore func()) {
	simulated.Store(&now)
	return func() { simulated.Store(nil) }
}

// SinceBoot returns the time since the machine booted, including suspensions.
// If the kernel does not provide that clock, it returns the wall clock time.
func SinceBoot() time.Duration {
	if now := simulated.Load(); now != nil {
		return (*now)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
