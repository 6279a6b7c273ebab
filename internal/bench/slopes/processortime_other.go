//go:build !unix

package slopes

import (
	"time"

	"github.com/go-faster/errors"
)

// processorTime is not known on this system.
func processorTime() (time.Duration, error) {
	return 0, errors.New("the processor time of a process is not known on this system")
}
