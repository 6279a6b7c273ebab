package soak

import (
	"math/rand/v2"
	"time"
)

// The kinds of events of contention schedules, in which there is more work than the engines can run.
const (
	// RequestBurst: several tenants send more live requests than the engines can run, one of them half of all.
	RequestBurst Kind = "request-burst"
	// ConfigurationChanged: the operator applies a configuration, during a burst.
	ConfigurationChanged Kind = "configuration-changed"
	// EngineSpeedChanged: an engine runs at another speed until the event ends.
	EngineSpeedChanged Kind = "engine-speed-changed"
)

// contentionWeights are the weights of the faults beside bursts and changes of speed. Engines that crash while they run
// requests show whether a request that may have run is refused.
var contentionWeights = []weightedKind{{NodeKilled, 4}, {StoreSilent, 3}, {StoreRefuses, 1}, {EngineLeaves, 4}, {EngineCrashed, 4}}

// contentionDurations are the durations of the events. An outage of the log lasts up to the 8 s for which every
// component must continue. Changes of speed range from those that must not change an engine's class to those that
// must.
var contentionDurations = map[Kind]durationRange{
	RequestBurst:       {2 * time.Second, 5 * time.Second},
	EngineSpeedChanged: {300 * time.Millisecond, 8 * time.Second},
	NodeKilled:         {minFault, minFault},
	EngineLeaves:       {minFault, minFault},
	EngineCrashed:      {minDowntime, 2 * time.Second},
	StoreSilent:        {3 * time.Second, 8 * time.Second},
	StoreRefuses:       {2 * time.Second, 6 * time.Second},
}

const (
	// meanBurstGap is the mean time between two bursts in addition to minBurstGap, in which the engines work off
	// what waits.
	meanBurstGap = time.Second
	minBurstGap  = 500 * time.Millisecond
	// configurationShare is the share of bursts during which a configuration is applied, at least
	// minConfigurationGap after the one before.
	configurationShare  = 0.7
	minConfigurationGap = 4 * time.Second
	meanSpeedChangeGap  = 3 * time.Second
	// Faults begin between contentionFaultsFrom and contentionFaultsTo of each contentionPeriod. Their effects and
	// the settle time are over before the next period, so that answers to different tenants can be compared while no
	// fault is active.
	contentionPeriod       = 30 * time.Second
	contentionFaultsFrom   = 10 * time.Second
	contentionFaultsTo     = 18 * time.Second
	meanContentionFaultGap = 2 * time.Second
	// contentionStream is the PCG stream of contention schedules, independent of those of other schedules.
	contentionStream = 4
)

// DrawContention returns the bursts of requests, the changes of speed and of the configuration, and the faults of a
// seed for a run of the given length, in order of time.
func DrawContention(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, contentionStream))
	faults := drawBursts(random, length)
	faults = append(faults, drawSpeedChanges(random, length)...)
	faults = append(faults, drawContentionFaults(random, length)...)
	return keepWithin(faults, length)
}

func drawBursts(random *rand.Rand, length time.Duration) []Fault {
	var drawn []Fault
	changedAt := -minConfigurationGap
	for at := faultFreeStart; at < length; {
		burst := drawContentionEvent(random, RequestBurst, at)
		drawn = append(drawn, burst)
		change := Fault{
			At: at + time.Duration(random.Float64()*float64(burst.Duration)), Kind: ConfigurationChanged, Target: random.IntN(maxTargets),
		}
		if random.Float64() < configurationShare && change.At >= changedAt+minConfigurationGap {
			drawn, changedAt = append(drawn, change), change.At
		}
		at += burst.Duration + minBurstGap + time.Duration(random.ExpFloat64()*float64(meanBurstGap))
	}
	return drawn
}

func drawSpeedChanges(random *rand.Rand, length time.Duration) []Fault {
	var drawn []Fault
	for at := faultFreeStart; at < length; at += time.Duration(random.ExpFloat64() * float64(meanSpeedChangeGap)) {
		drawn = append(drawn, drawContentionEvent(random, EngineSpeedChanged, at))
	}
	return drawn
}

func drawContentionFaults(random *rand.Rand, length time.Duration) []Fault {
	var drawn []Fault
	for period := time.Duration(0); period < length; period += contentionPeriod {
		for at := period + contentionFaultsFrom; at < period+contentionFaultsTo; {
			fault := drawContentionEvent(random, drawKind(contentionWeights, random), at)
			switch fault.Kind {
			case NodeKilled:
				fault.Aim = AimLeader
			case EngineCrashed:
				// The engines of live requests have the lowest numbers.
				fault.Target %= contentionLookupEngines
			}
			drawn = append(drawn, fault)
			at += time.Duration(random.ExpFloat64() * float64(meanContentionFaultGap))
		}
	}
	return drawn
}

func drawContentionEvent(random *rand.Rand, kind Kind, at time.Duration) Fault {
	limits := contentionDurations[kind]
	return Fault{At: at, Duration: uniformDuration(random, limits.shortest, limits.longest), Kind: kind, Target: random.IntN(maxTargets)}
}
