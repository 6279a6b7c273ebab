package demo

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
)

// Services, models and pool of the demo: two live services and a trainer share
// one pool.
const (
	lookupService = "clerk-lookup"
	permitService = "permit-desk"
	trainerName   = "comparables"

	lookupModel  = "clerk"
	trainerModel = "comparables"
	pool         = "shared"

	stalenessBound = 2
	weightBytes    = 1 << 20
)

const tableCSV = `service,kind,pool,model,version,priority,share,staleness,cap,repeatable,zones,floor
clerk-lookup,live,shared,clerk,latest,9,100,-,-,yes,*,50
permit-desk,live,shared,clerk,latest,9,100,-,-,no,*,50
comparables,trainer,shared,comparables,latest,3,100,2,-,yes,*,50
`

var zones = []string{"tumwater", "hillsboro"}

func deploymentConfig(binaries topology.Binaries, directory string) topology.Config {
	config := topology.Config{
		Binaries:  binaries,
		Directory: directory,
		Region:    "pnw",
		Nodes: []topology.NodeConfig{
			{ID: "n1", Zone: zones[0]},
			{ID: "n2", Zone: zones[0]},
			{ID: "n3", Zone: zones[1]},
		},
		Models: []topology.ModelConfig{
			{Name: lookupModel, Version: 1, SizeBytes: weightBytes},
			{Name: trainerModel, Version: 1, SizeBytes: weightBytes},
		},
		Table: tableCSV,
	}
	for _, engine := range []struct{ id, zone string }{
		{"e1", zones[0]}, {"e2", zones[0]}, {"e3", zones[1]}, {"e4", zones[1]},
	} {
		config.Engines = append(config.Engines, topology.EngineConfig{
			ID:            engine.id,
			Zone:          engine.zone,
			Pool:          pool,
			Models:        []string{lookupModel + "@1", trainerModel + "@1"},
			MaxBatch:      16,
			TokenInterval: 5 * time.Millisecond,
			LoadTime:      100 * time.Millisecond,
		})
	}
	return config
}

// liveLoads returns the loads of the repeatable lookup service and of the permit
// service, whose requests have idempotency keys and must be executed at most once.
func liveLoads(addresses []string, duration time.Duration) []live.Load {
	return []live.Load{
		{
			Addresses: addresses, Service: lookupService, Rate: 20, Duration: duration,
			Seed: 1, MaxTokens: 64, PrefixGroups: 4, PrefixBytes: 512, StreamShare: 0.5,
		},
		{
			Addresses: addresses, Service: permitService, Rate: 5, Duration: duration,
			Seed: 2, MaxTokens: 32, StreamShare: 0.5, WithIdempotencyKeys: true,
		},
	}
}

// secondsPerStep is the approximate duration of a training step.
const secondsPerStep = 2

func trainerConfig(deployment *topology.Deployment, duration time.Duration) trainer.Config {
	return trainer.Config{
		Servers:          deployment.CallerURLs(),
		Trainer:          trainerName,
		Steps:            max(2, int(duration/time.Second)/secondsPerStep),
		StepsAhead:       1,
		Prompts:          6,
		SamplesPerPrompt: 4,
		MaxTokens:        128,
		Groups:           2,
		PrefixBytes:      256,
		Seed:             3,
		TrainTime:        500 * time.Millisecond,
		WeightStore:      "http://" + deployment.Platform.WeightStore,
		Model:            trainerModel,
		StalenessBound:   stalenessBound,
		CheckTokens:      true,
	}
}
