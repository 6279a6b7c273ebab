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

const highQuantile = 0.99

// measure reads the engines' histories and puts the result together.
func (r *run) measure() (*Result, error) {
	histories, err := r.deployment.Histories()
	if err != nil {
		return nil, errors.Wrap(err, "read engines' histories")
	}
	result := &Result{
		Workload: r.Workload.Name,
		Policy:   r.Policy,
		Seed:     r.Seed,
		Seconds:  r.ended.Sub(r.began).Seconds(),
		Pools:    r.poolResults(histories),
	}
	r.addLive(result)
	r.addTrainers(result, histories)
	return result, nil
}

func (r *run) addLive(result *Result) {
	for index, service := range r.Workload.Live {
		alone, beside := r.alone[index].Summary(), r.beside[index].Summary()
		figures := LiveResult{
			Service:    service.Service,
			SharesPool: r.Workload.SharesPool(service.Service),
			Alone:      liveFigures(alone),
			Beside:     liveFigures(beside),
			P99Ratio:   ratio(beside.TimeToFirstToken.P99, alone.TimeToFirstToken.P99),
		}
		if figures.SharesPool {
			result.LiveP99Ratio = max(result.LiveP99Ratio, figures.P99Ratio)
		}
		result.Broken += alone.Broken + beside.Broken
		result.LiveFailed += alone.Requests - alone.OK + beside.Requests - beside.OK
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
		described := r.Workload.Trainers[index]
		steps := stepsOf(running, described.Steps)
		work = append(work, steps)
		figures := trainerResult(described, running.Report(), steps)
		made := madeFor(histories, described.Service)
		figures.GeneratedTokens = made.tokens
		figures.PrefixHitShare = ratio(float64(made.cachedTokens), float64(made.promptTokens))
		generated += figures.GeneratedTokens
		accepted += figures.AcceptedTokens
		result.Trainers = append(result.Trainers, figures)
		r.addPromises(result, running.Report())
	}
	r.addBounds(result, work)
	result.DiscardedTokenShare = ratio(float64(generated-accepted), float64(generated))
}

func (r *run) addPromises(result *Result, report trainer.Report) {
	result.Stale += report.Stale
	result.Broken += report.Duplicates + report.Lost + report.UnnamedVersions
	result.IdleSeconds += report.IdleSeconds
}

// stepsOf returns the work of a trainer's steps by the samples that it accepted.
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

func trainerResult(described workload.Trainer, report trainer.Report, steps []stepWork) TrainerResult {
	figures := TrainerResult{
		Service:       described.Service,
		Bound:         described.Bound,
		Steps:         report.StepsTrained,
		Samples:       report.SamplesAcknowledged,
		IdleSeconds:   report.IdleSeconds,
		IdleShare:     ratio(report.IdleSeconds, report.IdleSeconds+report.TrainSeconds),
		StepSeconds:   stat.Mean(report.StepSeconds, nil),
		StalenessMean: report.StalenessMean,
		StalenessP99:  quantile(highQuantile, report.Staleness),
		StalenessMax:  report.StalenessMax,
		Stale:         report.Stale,
		Rejected:      report.Rejected,
	}
	for _, step := range steps {
		figures.AcceptedTokens += step.tokens
		figures.LongestSample = max(figures.LongestSample, step.longest)
	}
	return figures
}

// addBounds computes the lower bounds of the trainers of each pool.
func (r *run) addBounds(result *Result, work [][]stepWork) {
	for _, pool := range r.Workload.Pools {
		input := boundInput{
			tokensPerSecond: capacity(pool) - r.liveTokensPerSecond(pool.Name),
			decodeStep:      pool.TokenInterval,
		}
		var members []int
		for index, described := range r.Workload.Trainers {
			if described.Pool != pool.Name {
				continue
			}
			members = append(members, index)
			input.steps = append(input.steps, work[index])
			input.ahead = append(input.ahead, described.Ahead)
			input.trainTime = append(input.trainTime, described.TrainTime)
		}
		for position, idle := range lowerBound(input) {
			figures := &result.Trainers[members[position]]
			figures.BoundIdleSeconds = idle.Seconds()
			figures.BoundStepSeconds = idle.Seconds()/float64(figures.Steps) + input.trainTime[position].Seconds()
			result.BoundIdleSeconds += idle.Seconds()
		}
	}
	result.IdleRatioToBound = ratio(result.IdleSeconds, result.BoundIdleSeconds)
}

// liveTokensPerSecond is what live services took of a pool while trainers ran.
func (r *run) liveTokensPerSecond(pool string) float64 {
	tokens := 0
	for index, service := range r.Workload.Live {
		if service.Pool == pool {
			tokens += r.beside[index].Summary().CompletionTokens
		}
	}
	return ratio(float64(tokens), r.ended.Sub(r.began).Seconds())
}

// capacity is the tokens a second that a pool makes with full batches.
func capacity(pool workload.Pool) float64 {
	step := engine.StepTime(pool.TokenInterval, pool.Batch)
	return float64(pool.Engines*pool.Batch) * float64(time.Second) / float64(step)
}

func quantile(part float64, values []uint64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := make([]float64, 0, len(values))
	for _, value := range values {
		sorted = append(sorted, float64(value))
	}
	slices.Sort(sorted)
	return stat.Quantile(part, stat.Empirical, sorted, nil)
}

// ratio is 0 when there is nothing to divide by.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
