package batchplan

import "time"

// fastFactor is how much slower than the best pace an engine may be to count as
// fast.
const fastFactor = 1.1

// IsFast tells whether a pace is about as fast as the best one. An unknown pace,
// which is zero, counts as fast.
func IsFast(pace, best time.Duration) bool {
	return float64(pace) <= fastFactor*float64(best)
}

// turnover is the time that the running items are expected to take at the pace, on
// average; zero when unknown.
func (p *Plan) turnover(pace time.Duration) time.Duration {
	if len(p.running) == 0 {
		return 0
	}
	return time.Duration(p.expectedEvents(p.runningLength) / float64(len(p.running)) * float64(pace))
}

func (p *pass) isFast(engine *Engine) bool {
	return IsFast(p.plan.paces[engine.ID], p.bestPace)
}

// worthWaiting tells whether an item is expected to end sooner if it waits for the
// next free place at a fast engine than if it starts at this slower one now. Items
// at fast engines end one after the other, and those left to wait before this one
// take the first places.
func (p *pass) worthWaiting(item Item, engine *Engine, of *candidates) bool {
	if of.fastRunning == 0 || p.turnover == 0 || p.isFast(engine) {
		return false
	}
	slower := p.plan.paces[engine.ID] - p.bestPace
	lost := time.Duration(p.plan.expectedEvents(item.Length) * float64(slower))
	wait := p.turnover * time.Duration(of.left+1) / time.Duration(of.fastRunning)
	return lost > wait
}
