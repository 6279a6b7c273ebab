// Package boottime reads a monotonic clock that advances while the machine is suspended. The
// monotonic clock of package time stops then, and the wall clock may be set, so neither is
// suitable for leases and the age of cached state.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. It must be compared only with other values
// of this clock, never with those of time.Now.
func Now() time.Time {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		// Every Linux since 2.6.39 has the clock, and the address is valid.
		panic("boottime: " + err.Error())
	}
	return time.Unix(read.Unix())
}
