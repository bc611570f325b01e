// Package clock reads the clock that goes on while the machine is suspended.
// Leases between processes are measured by it: the monotonic clock of the
// runtime stands still during a suspension, and would make an old lease look
// young.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// simulated is the clock of a test in simulated time, nil otherwise.
var simulated atomic.Pointer[func() time.Duration]

// Simulate makes Boot read a test's clock until the returned function is
// called.
func Simulate(now func() time.Duration) (restore func()) {
	simulated.Store(&now)
	return func() { simulated.Store(nil) }
}

// SinceBoot is the time since the machine booted, suspensions included.
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
