package batchplan

import "time"

// fastFactor is the ratio to the best pace up to which an engine counts as fast.
const fastFactor = 1.1

// IsFast reports whether a pace is close to the best one. An unknown pace, zero, counts as fast.
func IsFast(pace, best time.Duration) bool {
	return float64(pace) <= fastFactor*float64(best)
}

// expectedRunTime returns the mean time that the running items are expected to take at the given
// pace; zero when unknown.
func (p *Plan) expectedRunTime(pace time.Duration) time.Duration {
	if len(p.running) == 0 {
		return 0
	}
	return time.Duration(p.expectedEvents(p.runningLength) / float64(len(p.running)) * float64(pace))
}

func (p *pass) isFast(engine *Engine) bool {
	return IsFast(p.plan.paces[engine.ID], p.bestPace)
}

// worthWaiting reports whether an item is expected to end sooner if it waits for a free slot at a
// fast engine than if it starts at this slower one now. Fast engines free their slots at a steady
// rate, and the items deferred before this one take the first.
func (p *pass) worthWaiting(item Item, engine *Engine, of *candidates) bool {
	if of.fastRunning == 0 || p.expectedRunTime == 0 || p.isFast(engine) {
		return false
	}
	slower := p.plan.paces[engine.ID] - p.bestPace
	lost := time.Duration(p.plan.expectedEvents(item.Length) * float64(slower))
	wait := p.expectedRunTime * time.Duration(of.deferred+1) / time.Duration(of.fastRunning)
	return lost > wait
}
