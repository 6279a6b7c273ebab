package batchplan

import "time"

// fastFactor is the ratio to the best pace up to which an engine counts as fast.
const fastFactor = 1.1

// IsFast reports whether a pace, an engine's mean time between events, is close to the best one. An unknown pace,
// zero, counts as fast.
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
	if classes := p.speeds[engine.Service]; classes != nil {
		return classes.IsFast(engine.ID)
	}
	return IsFast(p.plan.paces[engine.ID], p.bestPace)
}

// worthWaiting reports whether an item is expected to end sooner if it waits for a free slot at a
// fast engine than if it starts at the given slower one now. It assumes that slots of fast engines
// become free at a steady rate, and that the items deferred earlier in the pass take the first ones. With classes no
// item waits: it can move to a fast engine later, which costs less than the wait.
func (p *pass) worthWaiting(item Item, engine *Engine, candidates *candidateHeap) bool {
	if p.speeds != nil && p.speeds[item.Service] != nil {
		return false
	}
	if candidates.fastRunning == 0 || p.expectedRunTime == 0 || p.isFast(engine) {
		return false
	}
	paceDifference := p.plan.paces[engine.ID] - p.bestPace
	extraTime := time.Duration(p.plan.expectedEvents(item.Length) * float64(paceDifference))
	wait := p.expectedRunTime * time.Duration(candidates.deferred+1) / time.Duration(candidates.fastRunning)
	return extraTime > wait
}
