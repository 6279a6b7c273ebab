package retry

import (
	"time"

	"github.com/rs/zerolog"
)

// Progress counts the failed attempts of a retry loop and the delays between them, so that a log line can tell a loop
// that spent its time in delays from one whose attempts were slow. It is not safe for concurrent use.
type Progress struct {
	began    time.Time
	failures int
	delayed  time.Duration
}

// Begin returns the progress of a loop that starts now.
func Begin() Progress { return Progress{began: time.Now()} }

// RecordFailure records a failed attempt that is followed by the delay.
func (p *Progress) RecordFailure(delay time.Duration) {
	p.failures++
	p.delayed += delay
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (p *Progress) MarshalZerologObject(event *zerolog.Event) {
	event.Int("failed_attempts", p.failures).Int64("delayed_ms", p.delayed.Milliseconds()).
		Int64("took_ms", time.Since(p.began).Milliseconds())
}
