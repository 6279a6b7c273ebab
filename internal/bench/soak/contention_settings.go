package soak

import (
	"fmt"
	"time"
)

const (
	// contentionLiveWait is shorter than the shortest deadline of a burst's requests, so that waits end by the
	// setting as well as by deadlines.
	contentionLiveWait     = 300 * time.Millisecond
	contentionLoadExchange = 200 * time.Millisecond
)

// nodeSettings are additional settings of a node.
type nodeSettings struct {
	// hosted holds lines of the section "hosted", tables further sections.
	hosted string
	tables string
	// liveWait is the longest time for which a live request may wait at a node for an engine.
	liveWait time.Duration
}

// contentionSettings returns the settings of the nodes under contention schedules.
func contentionSettings() nodeSettings {
	return nodeSettings{
		hosted: fmt.Sprintf("load_exchange = %q\n", contentionLoadExchange.String()),
		tables: fmt.Sprintf(`
[scheduling]
job_order = "due"
engine_speeds = "mixed"
live_wait = %q
`, contentionLiveWait.String()),
		liveWait: contentionLiveWait,
	}
}
