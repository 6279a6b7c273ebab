package experiment

import "github.com/corkpulley/corkpulley/internal/bench/live"

// Result is what one run measured. Shares are 0..1; times are those of the run.
type Result struct {
	Workload string          `json:"workload"`
	Policy   string          `json:"policy"`
	Seed     uint64          `json:"seed"`
	Trainers []TrainerResult `json:"trainers"`
	Live     []LiveResult    `json:"live"`
	Pools    []PoolResult    `json:"pools"`
	Seconds  float64         `json:"seconds"`
	Totals
}

// Totals are the figures of a run that comparisons are made of.
type Totals struct {
	// IdleSeconds is the time that all trainers waited for samples;
	// BoundIdleSeconds is the least that it could be (see Bound).
	IdleSeconds      float64 `json:"idle_seconds"`
	BoundIdleSeconds float64 `json:"bound_idle_seconds"`
	IdleRatioToBound float64 `json:"idle_ratio_to_bound"`
	// DiscardedTokenShare is the part of the tokens made for trainers that is in
	// no accepted sample.
	DiscardedTokenShare float64 `json:"discarded_token_share"`
	// Stale counts samples that a trainer accepted beyond its bound.
	Stale int `json:"stale"`
	// LiveP99Ratio is the p99 of the time to the first token beside the trainers
	// to that without them: the highest of the services on trainers' engines.
	LiveP99Ratio float64 `json:"live_p99_ratio"`
	// Broken counts broken promises: answers, duplicates, lost samples and
	// versions not named. LiveFailed counts live calls not answered whole.
	Broken     int `json:"broken"`
	LiveFailed int `json:"live_failed"`
}

// TrainerResult is what one trainer counted.
type TrainerResult struct {
	Service          string  `json:"service"`
	Bound            int     `json:"staleness_bound"`
	Steps            int     `json:"steps"`
	Samples          int     `json:"samples"`
	IdleShare        float64 `json:"idle_share"`
	IdleSeconds      float64 `json:"idle_seconds"`
	BoundIdleSeconds float64 `json:"bound_idle_seconds"`
	// StepSeconds is the mean time of a step, from its begin to its published
	// version; BoundStepSeconds is the lower bound of that mean.
	StepSeconds      float64 `json:"step_seconds"`
	BoundStepSeconds float64 `json:"bound_step_seconds"`
	StalenessMean    float64 `json:"staleness_mean"`
	StalenessP99     float64 `json:"staleness_p99"`
	StalenessMax     uint64  `json:"staleness_max"`
	Stale            int     `json:"stale"`
	Rejected         int     `json:"rejected"`
	AcceptedTokens   int     `json:"accepted_tokens"`
	GeneratedTokens  int     `json:"generated_tokens"`
	LongestSample    int     `json:"longest_sample_tokens"`
	// PrefixHitShare is the part of the prompts' tokens that engines had cached.
	PrefixHitShare float64 `json:"prefix_hit_share"`
}

// LiveResult is what the callers of one service saw.
type LiveResult struct {
	Service string `json:"service"`
	// SharesPool: its engines serve trainers too.
	SharesPool bool        `json:"shares_pool"`
	Alone      LiveFigures `json:"alone"`
	Beside     LiveFigures `json:"beside"`
	P99Ratio   float64     `json:"p99_ratio"`
}

// LiveFigures are the figures of one service in one part of a run.
type LiveFigures struct {
	Requests       int            `json:"requests"`
	OK             int            `json:"ok"`
	FirstToken     live.Quantiles `json:"time_to_first_token"`
	Latency        live.Quantiles `json:"latency"`
	PrefixHitShare float64        `json:"prefix_hit_share"`
}

// PoolResult is what the engines of a pool did while the trainers ran, by their
// own histories.
type PoolResult struct {
	Pool    string `json:"pool"`
	Engines int    `json:"engines"`
	// Utilisation is the mean part of the batches' places in use.
	Utilisation float64 `json:"utilisation"`
	// LowestUtilisation and HighestUtilisation are those of single engines.
	LowestUtilisation  float64 `json:"lowest_utilisation"`
	HighestUtilisation float64 `json:"highest_utilisation"`
	TokensPerSecond    float64 `json:"tokens_per_second"`
	// Capacity is the tokens a second that full batches make.
	Capacity float64 `json:"capacity_tokens_per_second"`
}
