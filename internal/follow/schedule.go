package follow

import "time"

// refreshSchedule says when a topic is to be read whole.
//
// After an outage of the log, whole reads are due at all nodes at once, and hundreds of
// them take all that the log serves for seconds. So one that is due then is postponed,
// but only once: a log that fails now and then doesn't keep it from being made.
type refreshSchedule struct {
	due       time.Time
	postponed bool
	// recovering is true from a failed read to the next one that works.
	recovering bool
}

// isDue tells whether the topic is to be read whole now.
func (s *refreshSchedule) isDue(now time.Time) bool {
	return now.After(s.due) && (!s.recovering || s.postponed)
}

// force makes a whole read due at once: records were lost.
func (s *refreshSchedule) force() { *s = refreshSchedule{postponed: true} }

// done notes a whole read; the next is due after the period.
func (s *refreshSchedule) done(now time.Time, period time.Duration) {
	*s = refreshSchedule{due: now.Add(period)}
}

// failed notes that a read failed.
func (s *refreshSchedule) failed() { s.recovering = true }

// worked notes that a read of changes worked. A whole read that came due meanwhile is made
// after the delay.
func (s *refreshSchedule) worked(now time.Time, delay time.Duration) {
	if s.recovering && !s.postponed && now.After(s.due) {
		s.due, s.postponed = now.Add(delay), true
	}
	s.recovering = false
}
