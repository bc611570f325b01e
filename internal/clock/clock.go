// Package clock reads the clock that goes on while the machine is suspended.
// Leases between processes are measured by it: the monotonic clock of the
// runtime stands still during a suspension, and would make an old lease look
// young.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the time since the machine booted, suspensions included.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
