package experiment

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/gonum/stat"

	"github.com/corkpulley/corkpulley/internal/bench/live"
	"github.com/corkpulley/corkpulley/internal/bench/workload"
	"github.com/corkpulley/corkpulley/internal/standin/engine"
	"github.com/corkpulley/corkpulley/internal/standin/trainer"
)

const p99 = 0.99

// measure computes the result from the recorded calls, trainer reports and engine histories.
func (r *run) measure() (*Result, error) {
	histories, err := r.deployment.Histories()
	if err != nil {
		return nil, errors.Wrap(err, "read engines' histories")
	}
	result := &Result{
		Workload: r.Workload.Name,
		Policy:   r.Policy,
		Seed:     r.Seed,
		Seconds:  r.trainingEnd.Sub(r.trainingStart).Seconds(),
		Pools:    r.poolResults(histories),
	}
	r.addLive(result)
	r.addTrainers(result, histories)
	return result, nil
}

func (r *run) addLive(result *Result) {
	for index, service := range r.Workload.Live {
		withoutTrainers, withTrainers := r.withoutTrainers[index].Summary(), r.withTrainers[index].Summary()
		figures := LiveResult{
			Service:         service.Service,
			SharesPool:      r.Workload.SharesPool(service.Service),
			WithoutTrainers: liveFigures(withoutTrainers),
			WithTrainers:    liveFigures(withTrainers),
			P99Ratio:        ratio(withTrainers.TimeToFirstToken.P99, withoutTrainers.TimeToFirstToken.P99),
		}
		if figures.SharesPool {
			result.LiveP99Ratio = max(result.LiveP99Ratio, figures.P99Ratio)
		}
		result.Violations += withoutTrainers.Invalid + withTrainers.Invalid
		result.LiveFailed += withoutTrainers.Requests - withoutTrainers.OK + withTrainers.Requests - withTrainers.OK
		result.Live = append(result.Live, figures)
	}
}

func liveFigures(summary live.Summary) LiveFigures {
	return LiveFigures{
		Requests:       summary.Requests,
		OK:             summary.OK,
		FirstToken:     summary.TimeToFirstToken,
		Latency:        summary.Latency,
		PrefixHitShare: ratio(float64(summary.CachedTokens), float64(summary.PromptTokens)),
	}
}

func (r *run) addTrainers(result *Result, histories []engine.History) {
	work := make([][]stepWork, 0, len(r.trainers))
	generated, accepted := 0, 0
	for index, running := range r.trainers {
		spec := r.Workload.Trainers[index]
		steps := stepsOf(running, spec.Steps)
		work = append(work, steps)
		figures := trainerResult(spec, running.Report(), steps)
		tokenTotals := totalsForService(histories, spec.Service)
		figures.GeneratedTokens = tokenTotals.tokens
		figures.PrefixHitShare = ratio(float64(tokenTotals.cachedTokens), float64(tokenTotals.promptTokens))
		generated += figures.GeneratedTokens
		accepted += figures.AcceptedTokens
		result.Trainers = append(result.Trainers, figures)
		r.addViolations(result, running.Report())
	}
	r.addBounds(result, work)
	result.DiscardedTokenShare = ratio(float64(generated-accepted), float64(generated))
}

func (r *run) addViolations(result *Result, report trainer.Report) {
	result.Stale += report.Stale
	result.Violations += report.Duplicates + report.Lost + report.InvalidVersions
	result.IdleSeconds += report.IdleSeconds
}

// stepsOf returns the work of a trainer's steps, computed from its accepted samples.
func stepsOf(running *trainer.Trainer, steps int) []stepWork {
	work := make([]stepWork, steps)
	for _, accepted := range running.Journal().Accepted() {
		number, known := running.StepNumber(accepted.Sample.Step)
		if !known {
			continue
		}
		work[number].tokens += accepted.Sample.Tokens
		work[number].longest = max(work[number].longest, accepted.Sample.Tokens)
	}
	return work
}

func trainerResult(spec workload.Trainer, report trainer.Report, steps []stepWork) TrainerResult {
	figures := TrainerResult{
		Service:        spec.Service,
		StalenessBound: spec.StalenessBound,
		Steps:          report.StepsTrained,
		Samples:        report.SamplesAcknowledged,
		IdleSeconds:    report.IdleSeconds,
		IdleShare:      ratio(report.IdleSeconds, report.IdleSeconds+report.TrainSeconds),
		StepSeconds:    stat.Mean(report.StepSeconds, nil),
		StalenessMean:  report.StalenessMean,
		StalenessP99:   quantile(p99, report.Staleness),
		StalenessMax:   report.StalenessMax,
		Stale:          report.Stale,
		Rejected:       report.Rejected,
	}
	for _, step := range steps {
		figures.AcceptedTokens += step.tokens
		figures.LongestSample = max(figures.LongestSample, step.longest)
	}
	return figures
}

// addBounds adds the lower bounds of idle time for the trainers of each pool.
func (r *run) addBounds(result *Result, work [][]stepWork) {
	for _, pool := range r.Workload.Pools {
		input := boundInput{
			tokensPerSecond: capacity(pool) - r.liveTokensPerSecond(pool.Name),
			decodeStep:      pool.TokenInterval,
		}
		var trainerIndexes []int
		for index, spec := range r.Workload.Trainers {
			if spec.Pool != pool.Name {
				continue
			}
			trainerIndexes = append(trainerIndexes, index)
			input.steps = append(input.steps, work[index])
			input.stepsAhead = append(input.stepsAhead, spec.StepsAhead)
			input.trainTime = append(input.trainTime, spec.TrainTime)
		}
		for position, idle := range lowerBound(input) {
			figures := &result.Trainers[trainerIndexes[position]]
			figures.BoundIdleSeconds = idle.Seconds()
			figures.BoundStepSeconds = idle.Seconds()/float64(figures.Steps) + input.trainTime[position].Seconds()
			result.BoundIdleSeconds += idle.Seconds()
		}
	}
	result.IdleRatioToBound = ratio(result.IdleSeconds, result.BoundIdleSeconds)
}

// liveTokensPerSecond returns the rate at which a pool generated tokens for live
// services during the training phase.
func (r *run) liveTokensPerSecond(pool string) float64 {
	tokens := 0
	for index, service := range r.Workload.Live {
		if service.Pool == pool {
			tokens += r.withTrainers[index].Summary().CompletionTokens
		}
	}
	return ratio(float64(tokens), r.trainingEnd.Sub(r.trainingStart).Seconds())
}

// capacity returns the tokens per second that a pool generates with full batches.
func capacity(pool workload.Pool) float64 {
	step := engine.StepTime(pool.TokenInterval, pool.MaxBatch)
	return float64(pool.Engines*pool.MaxBatch) * float64(time.Second) / float64(step)
}

func quantile(probability float64, values []uint64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := make([]float64, 0, len(values))
	for _, value := range values {
		sorted = append(sorted, float64(value))
	}
	slices.Sort(sorted)
	return stat.Quantile(probability, stat.Empirical, sorted, nil)
}

// ratio returns numerator/denominator, or 0 if the denominator is 0.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
