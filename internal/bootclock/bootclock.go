// Package bootclock tells a time that goes on while the machine is suspended, and that nobody sets. What
// a process believes ages by it: the steady clock of the runtime stands still during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time that is only good for comparing with others from Now.
func Now() time.Time {
	var ts unix.Timespec
	// The call fails only for clocks that the kernel lacks.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
