// Package boottime reads a clock that goes on while the machine is suspended. The steady
// clock of package time stops then, and the time of day may be set: whoever counts how
// long a lease still holds, or how old knowledge is, needs neither.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started as a time.Time. It may be compared
// with other values of this clock only, never with those of time.Now.
func Now() time.Time {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		// Every Linux since 2.6.39 has the clock, and the address is valid.
		panic("boottime: " + err.Error())
	}
	return time.Unix(read.Unix())
}
