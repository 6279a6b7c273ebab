package experiment

import "github.com/corkpulley/corkpulley/internal/bench/live"

// Result holds the measurements of one run. Shares are fractions (0..1); times are
// not scaled by the workload's TimeScale.
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

// Totals holds the measurements of a run that Comparison summarizes.
type Totals struct {
	// IdleSeconds is the sum of the times that trainers waited for samples;
	// BoundIdleSeconds is its lower bound (see lowerBound).
	IdleSeconds      float64 `json:"idle_seconds"`
	BoundIdleSeconds float64 `json:"bound_idle_seconds"`
	IdleRatioToBound float64 `json:"idle_ratio_to_bound"`
	// DiscardedTokenShare is the share of tokens generated for trainers that are
	// not part of an accepted sample.
	DiscardedTokenShare float64 `json:"discarded_token_share"`
	// Stale counts samples that a trainer accepted beyond its staleness bound.
	Stale int `json:"stale"`
	// LiveP99Ratio is the p99 time to first token with trainers divided by that
	// without them: the maximum over live services that share a pool with trainers.
	LiveP99Ratio float64 `json:"live_p99_ratio"`
	// Violations counts violated invariants: invalid live responses, duplicate and
	// lost samples, and samples with invalid version spans. LiveFailed counts live
	// calls without a complete and valid response.
	Violations int `json:"broken"`
	LiveFailed int `json:"live_failed"`
}

// TrainerResult holds the measurements of one trainer.
type TrainerResult struct {
	Service          string  `json:"service"`
	StalenessBound   int     `json:"staleness_bound"`
	Steps            int     `json:"steps"`
	Samples          int     `json:"samples"`
	IdleShare        float64 `json:"idle_share"`
	IdleSeconds      float64 `json:"idle_seconds"`
	BoundIdleSeconds float64 `json:"bound_idle_seconds"`
	// StepSeconds is the mean duration of a step, from its start until its version
	// is published; BoundStepSeconds is the lower bound of that mean.
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
	// PrefixHitShare is the share of prompt tokens found in the engines' prefix caches.
	PrefixHitShare float64 `json:"prefix_hit_share"`
}

// LiveResult holds the measurements by the callers of one service, without and
// with trainers running.
type LiveResult struct {
	Service string `json:"service"`
	// SharesPool reports whether the service's engines also serve trainers.
	SharesPool      bool        `json:"shares_pool"`
	WithoutTrainers LiveFigures `json:"alone"`
	WithTrainers    LiveFigures `json:"beside"`
	P99Ratio        float64     `json:"p99_ratio"`
}

// LiveFigures holds the measurements of one service in one phase of a run.
type LiveFigures struct {
	Requests       int            `json:"requests"`
	OK             int            `json:"ok"`
	FirstToken     live.Quantiles `json:"time_to_first_token"`
	Latency        live.Quantiles `json:"latency"`
	PrefixHitShare float64        `json:"prefix_hit_share"`
}

// PoolResult holds the measurements of a pool during the training phase, computed
// from the engines' histories.
type PoolResult struct {
	Pool    string `json:"pool"`
	Engines int    `json:"engines"`
	// Utilisation is the mean share (0..1) of batch slots in use.
	Utilisation float64 `json:"utilisation"`
	// LowestUtilisation and HighestUtilisation are the extremes over single engines.
	LowestUtilisation  float64 `json:"lowest_utilisation"`
	HighestUtilisation float64 `json:"highest_utilisation"`
	TokensPerSecond    float64 `json:"tokens_per_second"`
	// Capacity is the tokens per second that the pool generates with full batches.
	Capacity float64 `json:"capacity_tokens_per_second"`
}
