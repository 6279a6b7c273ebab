package follow

import "time"

// fullReadSchedule determines when a full read of a topic is due.
//
// After an outage of the log, full reads are due on all nodes at once, which together would take up the log for
// seconds. Such a read is therefore postponed, but only once, so that a log with occasional failures does not
// prevent it.
type fullReadSchedule struct {
	due time.Time
	// postponed is true if the next full read was postponed before, or must not be postponed at all.
	postponed bool
	// recovering is true from a failed read until the next successful one.
	recovering bool
}

// isDue reports whether a full read is due.
func (s *fullReadSchedule) isDue(now time.Time) bool {
	return now.After(s.due) && (!s.recovering || s.postponed)
}

// force makes a full read due at once, because records were lost.
func (s *fullReadSchedule) force() { *s = fullReadSchedule{postponed: true} }

// recordFullRead schedules the next full read after the period.
func (s *fullReadSchedule) recordFullRead(now time.Time, period time.Duration) {
	*s = fullReadSchedule{due: now.Add(period)}
}

func (s *fullReadSchedule) recordFailure() { s.recovering = true }

// recordSuccess records a successful read of changes. A full read that came due during failures is postponed by the
// delay.
func (s *fullReadSchedule) recordSuccess(now time.Time, delay time.Duration) {
	if s.recovering && !s.postponed && now.After(s.due) {
		s.due, s.postponed = now.Add(delay), true
	}
	s.recovering = false
}
