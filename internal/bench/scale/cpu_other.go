//go:build !unix

package scale

import "time"

// processorTime is not known on this system.
func processorTime() time.Duration { return 0 }
