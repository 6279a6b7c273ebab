package experiment

import (
	"strings"

	"github.com/corkpulley/corkpulley/internal/bench/workload"
	"github.com/corkpulley/corkpulley/internal/standin/engine"
)

// tokenTotals sums up the requests that engines served for one service.
type tokenTotals struct {
	tokens       int
	promptTokens int
	cachedTokens int
}

func totalsForService(histories []engine.History, service string) tokenTotals {
	var total tokenTotals
	for _, history := range histories {
		for _, request := range history.Requests {
			if request.Service != service {
				continue
			}
			total.promptTokens += request.PromptTokens
			total.cachedTokens += request.CachedTokens
			total.tokens += generatedTokens(request)
		}
	}
	return total
}

func generatedTokens(request engine.RequestHistory) int {
	tokens := 0
	for _, span := range request.Spans {
		tokens += span.To - span.From
	}
	return tokens
}

// poolResults summarizes the engines' work during the training phase.
func (r *run) poolResults(histories []engine.History) []PoolResult {
	results := make([]PoolResult, 0, len(r.Workload.Pools))
	for _, pool := range r.Workload.Pools {
		results = append(results, r.poolResult(pool, histories))
	}
	return results
}

func (r *run) poolResult(pool workload.Pool, histories []engine.History) PoolResult {
	result := PoolResult{Pool: pool.Name, Engines: pool.Engines, Capacity: capacity(pool), LowestUtilisation: 1}
	window := r.trainingEnd.Sub(r.trainingStart)
	for _, history := range histories {
		if !strings.HasPrefix(history.ID, pool.Name+"-") {
			continue
		}
		busyTime, tokens := r.busyTime(history)
		utilisation := ratio(busyTime, float64(pool.MaxBatch)*float64(window.Nanoseconds()))
		result.Utilisation += utilisation / float64(pool.Engines)
		result.LowestUtilisation = min(result.LowestUtilisation, utilisation)
		result.HighestUtilisation = max(result.HighestUtilisation, utilisation)
		result.TokensPerSecond += ratio(tokens, window.Seconds())
	}
	return result
}

// busyTime returns the time, in nanoseconds, for which the batch slots of an
// engine were in use during the training phase, and the number of tokens that it
// generated in that phase. The tokens of a request that is only partly within the
// phase count in proportion to the part within it.
func (r *run) busyTime(history engine.History) (busyTime, tokens float64) {
	trainingStart, trainingEnd := r.trainingStart.UnixNano(), r.trainingEnd.UnixNano()
	for _, request := range history.Requests {
		end := request.EndedUnixNS
		if end == 0 {
			end = trainingEnd
		}
		overlap := float64(max(0, min(end, trainingEnd)-max(request.StartedUnixNS, trainingStart)))
		busyTime += overlap
		tokens += float64(generatedTokens(request)) * ratio(overlap, float64(end-request.StartedUnixNS))
	}
	return busyTime, tokens
}
