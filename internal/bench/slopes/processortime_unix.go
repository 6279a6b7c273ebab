//go:build unix

package slopes

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// processorTime returns the time that the process has spent on processors, in
// user and in system mode.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
