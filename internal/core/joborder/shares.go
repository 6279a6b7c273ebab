package joborder

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time in which started work loses half of its weight. Trainers submit a step every few
	// seconds, so about two steps determine who got less than its share.
	shareHalfLife = 4 * time.Second
	// shareWeight is the largest effect of the shares on a job's slack, as a part of the time in which its results are
	// due. It separates jobs of similar slack; a job with short items does not overtake one whose long items must
	// start now.
	shareWeight = 0.2
	// exceededExcess is the excess from which on being late gives a submitter's jobs no precedence. Submitters with long
	// items get up to that much more than those with short ones without any being greedy.
	exceededExcess = 0.5
)

// pool identifies the submitters that share the engines of a service at a priority. Work of another priority does not
// count: a submitter with urgent jobs would otherwise never gain rank with its old jobs of a lower priority.
type pool struct {
	service  string
	priority int
}

// shareKey identifies a submitter in a pool.
type shareKey struct {
	pool
	submitter string
}

// usage is a decaying sum of started work, in expected tokens, as of a time.
type usage struct {
	tokens float64
	at     time.Time
}

// decayed returns the sum as of a later time.
func (u usage) decayed(now time.Time) float64 {
	return u.tokens * math.Exp2(-max(0, now.Sub(u.at).Seconds())/shareHalfLife.Seconds())
}

// shares holds the recently started work of each submitter.
type shares struct {
	started map[shareKey]usage
	// excess is, for submitters with waiting items, the difference to the equal share as a part of it, from -1 (none)
	// to 1 (twice the share or more).
	excess map[shareKey]float64
}

func newShares() shares {
	return shares{started: make(map[shareKey]usage), excess: make(map[shareKey]float64)}
}

func (s *shares) add(key shareKey, tokens float64, now time.Time) {
	s.started[key] = usage{s.started[key].decayed(now) + tokens, now}
}

// refresh computes the excess of the submitters with waiting items, and forgets work that has decayed.
func (s *shares) refresh(waiting map[shareKey]bool, now time.Time) {
	totals, counts := make(map[pool]float64), make(map[pool]int)
	for key := range waiting {
		totals[key.pool] += s.started[key].decayed(now)
		counts[key.pool]++
	}
	clear(s.excess)
	for key := range waiting {
		if share := totals[key.pool] / float64(counts[key.pool]); share > 0 {
			s.excess[key] = min(s.started[key].decayed(now)/share-1, 1)
		}
	}
	for key, started := range s.started {
		if started.decayed(now) < 1 {
			delete(s.started, key)
		}
	}
}

// exceeded reports whether the submitter got far more than its share.
func (s *shares) exceeded(key shareKey) bool { return s.excess[key] >= exceededExcess }

// adjustment returns the time by which the submitter's share changes the slack of a job that is due in span.
func (s *shares) adjustment(key shareKey, span time.Duration) time.Duration {
	return time.Duration(s.excess[key] * shareWeight * float64(span))
}
