package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Values of the flags --engines-fence and --schedule. The empty string stands for Drawn.
const (
	// Drawn: derived from the seed.
	Drawn = "drawn"
	// EnginesFenceYes and EnginesFenceNo: whether engines check fencing tokens.
	EnginesFenceYes = "yes"
	EnginesFenceNo  = "no"
	// GeneralFaults affect all parts of a deployment; LeaderFaults are series of faults of the leader.
	GeneralFaults = "general"
	LeaderFaults  = "leader"
	// PlacementFaults change the engines that may get a request, and their rate.
	PlacementFaults = "placement"
	// Contention is more work than the engines can run, of several tenants and trainers, with faults beside it.
	Contention = "contention"
	// OverlappingFaults are series of signals, restarts, changes and faults of engines that overlap, while callers keep
	// their connections.
	OverlappingFaults = "overlapping"
	// CrashStorms are bursts of engine crashes, beside which nodes are stopped, killed, or all killed at once, and calm
	// periods between them.
	CrashStorms = "storms"
	// ClientCrowds are overlapping faults, beside which crowds of clients misbehave. It is not drawn from seeds.
	ClientCrowds = "clients"
)

// schedules are those drawn from seeds.
var schedules = []string{GeneralFaults, LeaderFaults, PlacementFaults, Contention, OverlappingFaults, CrashStorms}

// allSchedules are those that the flag accepts.
var allSchedules = append(slices.Clone(schedules), ClientCrowds)

// modeStream is the PCG stream of modes, independent of those of faults.
const modeStream = 1

// checkMode returns an error if value is not among the values of a flag.
func checkMode(flag, value string, values ...string) error {
	if value == "" || value == Drawn || slices.Contains(values, value) {
		return nil
	}
	return errors.Errorf("%s is %q, expected one of %s, %q", flag, value, Drawn, values)
}

// One in stormOneIn seeds has crash storms, one in overlapOneIn of the others overlapping faults, one in contentionOneIn of the rest contention, and one in
// placementOneIn of those left placement faults.
const (
	placementOneIn  = 3
	contentionOneIn = 4
	overlapOneIn    = 5
	stormOneIn      = 6
)

// modes returns whether the engines check fencing tokens, as for about half of the seeds, and the
// schedule, each for about a sixth of the seeds. Flags take precedence over the seed.
func (a *Arguments) modes(seed uint64) (enginesFence bool, schedule string) {
	random := rand.New(rand.NewPCG(seed, modeStream))
	enginesFence, schedule = random.IntN(2) == 0, GeneralFaults
	if random.IntN(2) == 0 {
		schedule = LeaderFaults
	}
	if random.IntN(placementOneIn) == 0 {
		schedule = PlacementFaults
	}
	if random.IntN(contentionOneIn) == 0 {
		schedule = Contention
	}
	if random.IntN(overlapOneIn) == 0 {
		schedule = OverlappingFaults
	}
	if random.IntN(stormOneIn) == 0 {
		schedule = CrashStorms
	}
	if a.EnginesFence == EnginesFenceYes || a.EnginesFence == EnginesFenceNo {
		enginesFence = a.EnginesFence == EnginesFenceYes
	}
	if slices.Contains(allSchedules, a.Schedule) {
		schedule = a.Schedule
	}
	return enginesFence, schedule
}

// drawSchedule returns the faults of a schedule for a seed.
func drawSchedule(schedule string, seed uint64, length time.Duration) []Fault {
	switch schedule {
	case LeaderFaults:
		return DrawLeader(seed, length)
	case PlacementFaults:
		return DrawPlacement(seed, length)
	case OverlappingFaults:
		return DrawOverlap(seed, length)
	case CrashStorms:
		return DrawStorms(seed, length)
	case ClientCrowds:
		return DrawCrowds(seed, length)
	case Contention:
		return DrawContention(seed, length)
	default:
		return DrawGeneral(seed, length)
	}
}
