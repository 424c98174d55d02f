// Package bootclock reads a clock that advances while the host is suspended and that can't be set. Processes
// measure the age of their last known state by it, because the monotonic clock of the Go runtime stops during
// a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time that may only be compared with other results of Now.
func Now() time.Time {
	var ts unix.Timespec
	// The call fails only for clocks that the kernel doesn't have.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
