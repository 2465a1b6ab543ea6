// Package boottime reads a steady clock that also counts while the host is
// suspended. The clock behind time.Now stands still then, so an age measured
// with it would be too low after the host wakes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
