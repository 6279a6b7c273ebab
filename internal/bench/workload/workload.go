// Package workload defines the deployments and loads of experiments. Zones,
// engines, live services and trainers are as many as in production; time is scaled.
package workload

import (
	"time"

	"github.com/go-faster/errors"
)

// Workload is a deployment with its load. Durations and rates apply to the run;
// TimeScale relates them to production.
type Workload struct {
	Name   string
	Region string
	// Zones have one node each; the engines of each pool are assigned to zones round-robin.
	Zones []string
	// ZoneLatency and ClientLatency are the one-way latencies between nodes and
	// between callers and nodes. They are not scaled.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	Pools         []Pool
	Live          []LiveService
	Trainers      []Trainer
	// TimeScale is the number of production seconds that one second of the run represents.
	TimeScale float64
}

// Pool is a group of identically configured engines.
type Pool struct {
	Name    string
	Engines int
	// Models are loaded at startup, at version 1.
	Models []string
	// MaxBatch is the maximum number of concurrent requests of one engine, at least 1.
	MaxBatch int
	// TokenInterval is the time per token in a batch of one.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time of each prompt token that is not cached.
	PrefillPerToken time.Duration
	// LoadTime is how long a model is paused while a new version is loaded.
	LoadTime time.Duration
	// CacheTokens is the capacity of one engine's prefix cache, in tokens.
	CacheTokens int
}

// LiveService is an interactive service with its load.
type LiveService struct {
	Service string
	Pool    string
	Model   string
	// Rate is the mean number of arrivals per second.
	Rate         float64
	MaxTokens    int
	PrefixGroups int
	PrefixBytes  int
	// Keyed marks a service that is not repeatable: each call has an idempotency key.
	Keyed bool
}

// Trainer describes a trainer and the model that it trains.
type Trainer struct {
	Service string
	Pool    string
	Model   string
	// StalenessBound is the staleness bound in the policy table, in versions.
	StalenessBound int
	// StepsAhead is the number of steps submitted ahead of the one being trained.
	StepsAhead       int
	Steps            int
	Prompts          int
	SamplesPerPrompt int
	MaxTokens        int
	// GroupMinTokens is the minimum completion length in tokens of each prompt
	// group; lengths follow a Pareto distribution with this minimum.
	GroupMinTokens []int
	PrefixBytes    int
	TrainTime      time.Duration
}

// Names lists the names accepted by ByName.
var Names = []string{nameCascadia, nameOdalaigh}

// ByName returns the workload with the given name.
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

// Pool returns the pool with the given name, or nil.
func (w *Workload) Pool(name string) *Pool {
	for index := range w.Pools {
		if w.Pools[index].Name == name {
			return &w.Pools[index]
		}
	}
	return nil
}

// SharesPool reports whether the named live service shares its pool with a trainer.
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
