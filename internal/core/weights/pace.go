package weights

import "time"

const (
	// firstShare is the part of the engines that load at once (one in
	// firstShare) while nothing is known of the store.
	firstShare = 3
	// slowdown is how much longer than the fastest ones loads must take for
	// the store to count as the bottleneck; slowdownSlack allows for counts
	// that come late.
	slowdown      = 1.5
	slowdownSlack = 2 * time.Second
	// probeShare is by how much more than the store was seen to feed is asked
	// of it, so that a faster store is noticed.
	probeShare = 1.25
	// forgetShare lets the fastest duration rise from rollout to rollout, as
	// weights may have grown.
	forgetShare = 1.1
	// maxMarks bounds the remembered counts of one rollout.
	maxMarks = 256
)

// mark is how many loads had begun, and how many had ended, at a time.
type mark struct {
	at           time.Time
	begun, ended int
}

// Pace learns how fast the weight store feeds the loads of a model. Neither the
// store nor the engines tell a coordinator about refused downloads; but an
// engine whose download is refused waits, so loads that overload the store take
// longer. Durations follow from the counts alone: loads end about in the order
// in which they began, so the n-th end belongs to the n-th begin.
//
// The zero value is ready. It is not safe for concurrent use.
type Pace struct {
	version uint64
	marks   []mark
	// fastest is the shortest duration seen, rate the loads a second that the
	// store fed when it was the bottleneck; zero when not known.
	fastest time.Duration
	rate    float64
}

// Observe takes the counts of a look at a rollout: loads that run, and engines
// that have the version. Times must not go back.
func (p *Pace) Observe(now time.Time, version uint64, running, reached int) {
	if version != p.version {
		p.version = version
		p.marks = nil
		p.fastest = time.Duration(float64(p.fastest) * forgetShare)
	}
	begun := running + reached
	if last := len(p.marks) - 1; last >= 0 {
		begun = max(begun, p.marks[last].begun)
		reached = max(reached, p.marks[last].ended)
	}
	p.marks = append(p.marks, mark{at: now, begun: begun, ended: reached})
	if len(p.marks) > maxMarks {
		p.marks = p.marks[1:]
	}
	p.learn()
}

// learn looks at the loads that ended since the last look.
func (p *Pace) learn() {
	last := len(p.marks) - 1
	if last < 1 || p.marks[last].ended == p.marks[last-1].ended {
		return
	}
	took, known := p.duration()
	if !known {
		return
	}
	if p.fastest == 0 || took < p.fastest {
		p.fastest = took
	}
	if took > time.Duration(float64(p.fastest)*slowdown)+slowdownSlack {
		p.rate = p.endRate()
	} else {
		p.rate *= probeShare // the store kept up: it may feed more
	}
}

// duration returns the time of the load that ended last. Loads that had begun
// before the first look can't be told.
func (p *Pace) duration() (time.Duration, bool) {
	last := p.marks[len(p.marks)-1]
	if last.ended <= p.marks[0].begun {
		return last.at.Sub(p.marks[0].at), p.marks[0].ended < last.ended && p.marks[0].begun > p.marks[0].ended
	}
	for _, earlier := range p.marks {
		if earlier.begun >= last.ended {
			return last.at.Sub(earlier.at), true
		}
	}
	return 0, false
}

// endRate returns the loads that ended a second, over the last fastest duration.
func (p *Pace) endRate() float64 {
	last := p.marks[len(p.marks)-1]
	from := p.marks[0]
	for _, earlier := range p.marks {
		if last.at.Sub(earlier.at) >= p.fastest {
			from = earlier
		}
	}
	elapsed := last.at.Sub(from.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(last.ended-from.ended) / elapsed
}

// Limits returns the bounds for the next wave, from the bound that the settings
// give and the number of engines.
func (p *Pace) Limits(maxConcurrent, engines int) Limits {
	limits := Limits{MaxConcurrent: maxConcurrent}
	if p.fastest == 0 {
		limits.MaxConcurrent = min(maxConcurrent, max(1, (engines+firstShare-1)/firstShare))
		return limits
	}
	if p.rate > 0 {
		limits.StoreRate = p.rate * probeShare
		limits.LoadDuration = p.fastest
	}
	return limits
}
