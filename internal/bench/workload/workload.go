// Package workload describes the deployments that experiments run: engines,
// zones, live services and trainers at their real numbers, with time scaled.
package workload

import (
	"time"

	"github.com/go-faster/errors"
)

// Workload is one deployment with its load. All times are those of the run; see
// TimeScale for what they stand for.
type Workload struct {
	Name   string
	Region string
	// Zones hold one node each; engines are dealt over them in turn.
	Zones []string
	// ZoneLatency and ClientLatency are added one way on the links between nodes
	// and between callers and nodes. They are real times, not scaled.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	Pools         []Pool
	Live          []LiveService
	Trainers      []Trainer
	// TimeScale is how many seconds of the users' time one second of the run
	// stands for.
	TimeScale float64
}

// Pool is a group of equal engines.
type Pool struct {
	Name    string
	Engines int
	// Models are held from the start, all at version 1.
	Models []string
	// Batch is how many requests one engine runs at once, 1 or more.
	Batch int
	// TokenInterval is the decode step of a batch of one.
	TokenInterval time.Duration
	// PrefillPerToken is the time for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// LoadTime is the pause of a model while a version is swapped in.
	LoadTime time.Duration
	// CacheTokens bounds the prefix cache of one engine.
	CacheTokens int
}

// LiveService is a service that people wait for.
type LiveService struct {
	Service string
	Pool    string
	Model   string
	// Rate is the mean number of arrivals a second.
	Rate        float64
	MaxTokens   int
	Groups      int
	PrefixBytes int
	// Keyed services are not repeatable: each call has an idempotency key.
	Keyed bool
}

// Trainer is a trainer and the model that it trains.
type Trainer struct {
	Service string
	Pool    string
	Model   string
	// Bound is the staleness bound of its row, in versions.
	Bound int
	// Ahead is how many steps are submitted ahead of the one that is trained.
	Ahead            int
	Steps            int
	Prompts          int
	SamplesPerPrompt int
	MaxTokens        int
	// GroupShortest has, for each prompt group, the shortest answer in tokens;
	// lengths above it follow a Pareto distribution.
	GroupShortest []int
	PrefixBytes   int
	TrainTime     time.Duration
}

// Names lists the workloads that ByName knows.
var Names = []string{nameCascadia, nameOdalaigh}

// ByName returns the workload of a name.
func ByName(name string) (*Workload, error) {
	switch name {
	case nameCascadia:
		return cascadia(), nil
	case nameOdalaigh:
		return odalaigh(), nil
	default:
		return nil, errors.Errorf("unknown workload %q, expected one of %q", name, Names)
	}
}

// Pool returns the pool of a name, or nil.
func (w *Workload) Pool(name string) *Pool {
	for index := range w.Pools {
		if w.Pools[index].Name == name {
			return &w.Pools[index]
		}
	}
	return nil
}

// SharesPool reports whether a live service runs on engines that a trainer
// uses too.
func (w *Workload) SharesPool(service string) bool {
	for _, live := range w.Live {
		if live.Service != service {
			continue
		}
		for _, trainer := range w.Trainers {
			if trainer.Pool == live.Pool {
				return true
			}
		}
	}
	return false
}
