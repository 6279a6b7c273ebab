package workload

import "time"

const nameCascadia = "cascadia"

// timeScale: a weight version every four minutes becomes one every four
// seconds.
const timeScale = 60

// Groups of trainers' prompts differ in the length of their answers.
var groupShortest = []int{10, 12, 14, 16, 20, 32}

// cascadia is the assessment division: three zones, nine valuation engines that
// two trainers share with live valuations, and three engines for clerks. Late
// rollouts cost it most, so its staleness bound is two versions.
func cascadia() *Workload {
	return &Workload{
		Name:          nameCascadia,
		Region:        "pacific-northwest",
		Zones:         []string{"tumwater", "hillsboro", "wenatchee"},
		ZoneLatency:   500 * time.Microsecond,
		ClientLatency: 3 * time.Millisecond,
		TimeScale:     timeScale,
		Pools: []Pool{
			enginePool("valuation", 9, "valuation", "comparables", "appeals"),
			enginePool("clerk", 3, "clerk"),
		},
		Live: []LiveService{
			lookup("valuation-lookup", "valuation", "valuation", 50),
			lookup("clerk-lookup", "clerk", "clerk", 20),
		},
		Trainers: []Trainer{
			sampleTrainer("comparables", "valuation", 2),
			sampleTrainer("appeals", "valuation", 2),
		},
	}
}

func enginePool(name string, engines int, models ...string) Pool {
	return Pool{
		Name:            name,
		Engines:         engines,
		Models:          models,
		Batch:           8,
		TokenInterval:   10 * time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		LoadTime:        50 * time.Millisecond,
		CacheTokens:     4096,
	}
}

func lookup(service, pool, model string, rate float64) LiveService {
	return LiveService{
		Service:     service,
		Pool:        pool,
		Model:       model,
		Rate:        rate,
		MaxTokens:   24,
		Groups:      6,
		PrefixBytes: 512,
	}
}

func sampleTrainer(service, pool string, bound int) Trainer {
	return Trainer{
		Service:          service,
		Pool:             pool,
		Model:            service,
		Bound:            bound,
		Ahead:            1,
		Steps:            4,
		Prompts:          16,
		SamplesPerPrompt: 8,
		MaxTokens:        320,
		GroupShortest:    groupShortest,
		PrefixBytes:      512,
		TrainTime:        time.Second,
	}
}
