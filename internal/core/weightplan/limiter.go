package weightplan

import "time"

const (
	// MinLoadsAtOnce is how many engines may always load together.
	MinLoadsAtOnce = 2
	// loadingPart is one in how many engines of a service may load together beyond
	// MinLoadsAtOnce: the others go on serving.
	loadingPart = 4
	// startPart is one in how many engines load together before anything is known of
	// the source. Sources were seen to feed one in five of their engines, so this is
	// below what they feed, and each leader begins to learn anew.
	startPart = 8
	// maxStart bounds that part. The first loads tell how long one takes alone: where all of them are
	// slow, none of them shows it. 360 of 2,900 engines ordered at once from a source that fed ten
	// served nothing for half a minute; from 16 on the limit doubles with each round of fast loads.
	maxStart = 16
	// slowLoad is how much longer than the fastest load one must take to count as
	// held up by the others.
	slowLoad = 1.35
	// probeStep is what a fast load adds to the limit once a slow one was seen.
	probeStep = 0.15
)

// Limiter learns how many engines can load together before the source of the
// weights holds them up. It begins with a part of the engines, doubles with each round
// of fast loads until the first slow one, and then falls to what the slow load shows:
// where n loads together take r times as long as one, the source feeds n/r of them.
type Limiter struct {
	limit float64
	// fastest is the shortest load seen.
	fastest time.Duration
	// held is true once a slow load was seen.
	held bool
	// loweredAt is when the limit fell last. Loads that began before say nothing of
	// the new limit.
	loweredAt time.Time
}

// NewLimiter returns a limiter that has seen no load.
func NewLimiter() *Limiter { return &Limiter{limit: MinLoadsAtOnce} }

// Limit is the number of engines that the source was seen to feed together.
func (l *Limiter) Limit() int { return int(l.limit) }

// LimitOf is the number of engines that may load together of a service that has
// so many.
func (l *Limiter) LimitOf(engines int) int {
	if !l.held {
		l.limit = max(l.limit, float64(min(engines/startPart, maxStart)))
	}
	return min(l.Limit(), max(MinLoadsAtOnce, engines/loadingPart))
}

// Ended takes a load beside which at most together-1 others ran.
func (l *Limiter) Ended(began, ended time.Time, together int) {
	took := ended.Sub(began)
	if l.fastest == 0 || took < l.fastest {
		l.fastest = took
	}
	ratio := float64(took) / float64(l.fastest)
	if ratio > slowLoad {
		if began.After(l.loweredAt) {
			l.lower(float64(together)/ratio, ended)
		}
		return
	}
	switch {
	case l.held && together >= l.Limit():
		l.limit += probeStep
	case !l.held && 2*together > l.Limit():
		l.limit++
	}
}

// lower sets the limit to what the source was seen to feed.
func (l *Limiter) lower(fed float64, at time.Time) {
	l.limit = min(l.limit, max(fed, MinLoadsAtOnce))
	l.held = true
	l.loweredAt = at
}
