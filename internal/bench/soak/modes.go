package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Values of the flags that choose a kind of soak. The empty text stands for Drawn.
const (
	// Drawn: the seed decides.
	Drawn = "drawn"
	// Yes and No say whether engines check fencing tokens.
	Yes = "yes"
	No  = "no"
	// GeneralFaults are faults of all parts of a deployment, LeaderFaults series of
	// faults of the leader.
	GeneralFaults = "general"
	LeaderFaults  = "leader"
	// PlacementFaults change which engines may be sent a request, and how much.
	PlacementFaults = "placement"
)

// schedules are the kinds of schedules.
var schedules = []string{GeneralFaults, LeaderFaults, PlacementFaults}

// modeStream keeps the draws of modes apart from those of faults.
const modeStream = 1

// checkMode returns an error where a flag has none of its values.
func checkMode(flag, value string, values ...string) error {
	if value == "" || value == Drawn || slices.Contains(values, value) {
		return nil
	}
	return errors.Errorf("%s is %q, expected one of %s, %q", flag, value, Drawn, values)
}

// placementPart is one in how many seeds has placement faults.
const placementPart = 3

// modes returns whether the engines check fencing tokens, as about half of the seeds have
// it, and which schedule is played: each for about a third of the seeds.
func (a *Arguments) modes(seed uint64) (enginesFence bool, schedule string) {
	random := rand.New(rand.NewPCG(seed, modeStream))
	enginesFence, schedule = random.IntN(2) == 0, GeneralFaults
	if random.IntN(2) == 0 {
		schedule = LeaderFaults
	}
	if random.IntN(placementPart) == 0 {
		schedule = PlacementFaults
	}
	if a.EnginesFence == Yes || a.EnginesFence == No {
		enginesFence = a.EnginesFence == Yes
	}
	if slices.Contains(schedules, a.Schedule) {
		schedule = a.Schedule
	}
	return enginesFence, schedule
}

// drawSchedule returns the faults of a schedule.
func drawSchedule(schedule string, seed uint64, length time.Duration) []Fault {
	switch schedule {
	case LeaderFaults:
		return DrawLeader(seed, length)
	case PlacementFaults:
		return DrawPlacement(seed, length)
	default:
		return Draw(seed, length)
	}
}
