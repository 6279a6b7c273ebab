// Package boottime reads a monotonic clock that also advances while the machine is suspended. The monotonic
// clock of package time stops during a suspension, and the wall clock can be set; neither is suitable for
// leases and the age of cached state.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. It must only be compared with other values of this clock,
// never with those of time.Now.
func Now() time.Time {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		// CLOCK_BOOTTIME is available since Linux 2.6.39.
		panic("boottime: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(sinceBoot.Unix())
}
