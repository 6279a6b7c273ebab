package workload

import "time"

const nameCascadia = "cascadia"

// timeScale is 60: a trainer that publishes a weight version every four minutes
// in production publishes one every four seconds.
const timeScale = 60

// groupMinTokens is the minimum completion length in tokens of each group of trainer prompts.
var groupMinTokens = []int{10, 12, 14, 16, 20, 32}

// cascadia returns a workload with three zones, nine valuation engines shared by
// two trainers and a live service, and three engines for another live service.
// Its staleness bound of two versions favors throughput over fresh samples.
func cascadia() *Workload {
	return &Workload{
		Name:          nameCascadia,
		Region:        "pacific-northwest",
		Zones:         []string{"tumwater", "hillsboro", "wenatchee"},
		ZoneLatency:   500 * time.Microsecond,
		ClientLatency: 3 * time.Millisecond,
		TimeScale:     timeScale,
		Pools: []Pool{
			newPool("valuation", 9, "valuation", "comparables", "appeals"),
			newPool("clerk", 3, "clerk"),
		},
		Live: []LiveService{
			newLiveService("valuation-lookup", "valuation", "valuation", 50),
			newLiveService("clerk-lookup", "clerk", "clerk", 20),
		},
		Trainers: []Trainer{
			newTrainer("comparables", "valuation", 2),
			newTrainer("appeals", "valuation", 2),
		},
	}
}

func newPool(name string, engines int, models ...string) Pool {
	return Pool{
		Name:            name,
		Engines:         engines,
		Models:          models,
		MaxBatch:        8,
		TokenInterval:   10 * time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		LoadTime:        50 * time.Millisecond,
		CacheTokens:     4096,
	}
}

func newLiveService(service, pool, model string, rate float64) LiveService {
	return LiveService{
		Service:      service,
		Pool:         pool,
		Model:        model,
		Rate:         rate,
		MaxTokens:    24,
		PrefixGroups: 6,
		PrefixBytes:  512,
	}
}

func newTrainer(service, pool string, bound int) Trainer {
	return Trainer{
		Service:          service,
		Pool:             pool,
		Model:            service,
		StalenessBound:   bound,
		StepsAhead:       1,
		Steps:            4,
		Prompts:          16,
		SamplesPerPrompt: 8,
		MaxTokens:        320,
		GroupMinTokens:   groupMinTokens,
		PrefixBytes:      512,
		TrainTime:        time.Second,
	}
}
