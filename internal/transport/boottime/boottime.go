// Package boottime reads a monotonic clock that also advances while the host is suspended.
// The monotonic clock of time.Now stops during suspension, so an age measured with it would
// be too low after the host resumes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
