package workload

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/topology"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
)

const (
	weightBytes   = 1 << 20
	livePriority  = 9
	trainPriority = 3
	// minServingPercent is the percentage of a pool's engines that keeps serving while
	// weights are updated.
	minServingPercent = 50
)

const tableHeader = "service,kind,pool,model,version,priority,share,staleness,cap,repeatable,zones,floor\n"

// Deployment returns the configuration of the workload's deployment under a scheduling policy.
func (w *Workload) Deployment(binaries topology.Binaries, directory, policy string) topology.Config {
	config := topology.Config{
		Binaries:      binaries,
		Directory:     directory,
		Region:        w.Region,
		Table:         w.Table(),
		Policy:        policy,
		PeerLatency:   w.ZoneLatency,
		CallerLatency: w.ClientLatency,
	}
	for number, zone := range w.Zones {
		config.Nodes = append(config.Nodes, topology.NodeConfig{ID: fmt.Sprintf("n%d", number+1), Zone: zone})
	}
	for _, pool := range w.Pools {
		config.Engines = append(config.Engines, w.engines(pool)...)
		for _, model := range pool.Models {
			config.Models = append(config.Models, topology.ModelConfig{Name: model, Version: 1, SizeBytes: weightBytes})
		}
	}
	return config
}

func (w *Workload) engines(pool Pool) []topology.EngineConfig {
	engines := make([]topology.EngineConfig, 0, pool.Engines)
	for number := range pool.Engines {
		engines = append(engines, topology.EngineConfig{
			ID:            fmt.Sprintf("%s-%d", pool.Name, number+1),
			Zone:          w.Zones[number%len(w.Zones)],
			Pool:          pool.Name,
			Models:        pool.Models,
			MaxBatch:      pool.MaxBatch,
			TokenInterval: pool.TokenInterval,
			LoadTime:      pool.LoadTime,
			Arguments: []string{
				"--prefill-per-token", pool.PrefillPerToken.String(),
				"--cache-tokens", strconv.Itoa(pool.CacheTokens),
			},
		})
	}
	return engines
}

// Table returns the policy table of all services as CSV.
func (w *Workload) Table() string {
	var table strings.Builder
	table.WriteString(tableHeader)
	for _, service := range w.Live {
		repeatable := "yes"
		if service.Keyed {
			repeatable = "no"
		}
		fmt.Fprintf(&table, "%s,live,%s,%s,latest,%d,100,-,-,%s,*,%d\n",
			service.Service, service.Pool, service.Model, livePriority, repeatable, minServingPercent)
	}
	for _, service := range w.Trainers {
		fmt.Fprintf(&table, "%s,trainer,%s,%s,latest,%d,100,%d,-,yes,*,%d\n",
			service.Service, service.Pool, service.Model, trainPriority, service.StalenessBound, minServingPercent)
	}
	return table.String()
}

// Loads returns the live load of each service, in the order of Live. The seed
// determines arrivals and prompts.
func (w *Workload) Loads(addresses []string, seed uint64) []live.Load {
	loads := make([]live.Load, 0, len(w.Live))
	for index, service := range w.Live {
		loads = append(loads, live.Load{
			Addresses:           addresses,
			Service:             service.Service,
			Rate:                service.Rate,
			Seed:                seed*uint64(len(w.Live)) + uint64(index),
			MaxTokens:           service.MaxTokens,
			PrefixGroups:        service.PrefixGroups,
			PrefixBytes:         service.PrefixBytes,
			StreamShare:         1,
			WithIdempotencyKeys: service.Keyed,
		})
	}
	return loads
}

// TrainerConfigs returns the trainers' configurations, in the order of Trainers.
// The seed determines prompts and completions.
func (w *Workload) TrainerConfigs(servers []string, store string, seed uint64) []trainer.Config {
	configs := make([]trainer.Config, 0, len(w.Trainers))
	for index, service := range w.Trainers {
		configs = append(configs, trainer.Config{
			Servers:          servers,
			Trainer:          service.Service,
			Steps:            service.Steps,
			StepsAhead:       service.StepsAhead,
			Prompts:          service.Prompts,
			SamplesPerPrompt: service.SamplesPerPrompt,
			MaxTokens:        service.MaxTokens,
			Groups:           len(service.GroupMinTokens),
			GroupMinTokens:   service.GroupMinTokens,
			PrefixBytes:      service.PrefixBytes,
			Seed:             int64(seed)*int64(len(w.Trainers)) + int64(index),
			TrainTime:        service.TrainTime,
			WeightStore:      store,
			WeightBytes:      weightBytes,
			Model:            service.Model,
			StalenessBound:   service.StalenessBound,
			CheckTokens:      true,
		})
	}
	return configs
}
