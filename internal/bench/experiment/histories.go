package experiment

import (
	"strings"

	"github.com/corkpulley/corkpulley/internal/bench/workload"
	"github.com/corkpulley/corkpulley/internal/standin/engine"
)

// made sums up what engines did for one service.
type made struct {
	tokens       int
	promptTokens int
	cachedTokens int
}

func madeFor(histories []engine.History, service string) made {
	var total made
	for _, history := range histories {
		for _, request := range history.Requests {
			if request.Service != service {
				continue
			}
			total.promptTokens += request.PromptTokens
			total.cachedTokens += request.CachedTokens
			total.tokens += tokensOf(request)
		}
	}
	return total
}

func tokensOf(request engine.RequestHistory) int {
	tokens := 0
	for _, span := range request.Spans {
		tokens += span.To - span.From
	}
	return tokens
}

// poolResults sums up the engines' work while the trainers ran.
func (r *run) poolResults(histories []engine.History) []PoolResult {
	results := make([]PoolResult, 0, len(r.Workload.Pools))
	for _, pool := range r.Workload.Pools {
		results = append(results, r.poolResult(pool, histories))
	}
	return results
}

func (r *run) poolResult(pool workload.Pool, histories []engine.History) PoolResult {
	result := PoolResult{Pool: pool.Name, Engines: pool.Engines, Capacity: capacity(pool), LowestUtilisation: 1}
	window := r.ended.Sub(r.began)
	for _, history := range histories {
		if !strings.HasPrefix(history.ID, pool.Name+"-") {
			continue
		}
		busy, tokens := r.busy(history)
		utilisation := ratio(busy, float64(pool.Batch)*float64(window.Nanoseconds()))
		result.Utilisation += utilisation / float64(pool.Engines)
		result.LowestUtilisation = min(result.LowestUtilisation, utilisation)
		result.HighestUtilisation = max(result.HighestUtilisation, utilisation)
		result.TokensPerSecond += ratio(tokens, window.Seconds())
	}
	return result
}

// busy returns the time, in nanoseconds, that the places of an engine's batch
// were in use while the trainers ran, and the tokens made, a request that lies
// partly outside counted in proportion.
func (r *run) busy(history engine.History) (busy, tokens float64) {
	began, ended := r.began.UnixNano(), r.ended.UnixNano()
	for _, request := range history.Requests {
		end := request.EndedUnixNS
		if end == 0 {
			end = ended
		}
		inside := float64(max(0, min(end, ended)-max(request.StartedUnixNS, began)))
		busy += inside
		tokens += float64(tokensOf(request)) * ratio(inside, float64(end-request.StartedUnixNS))
	}
	return busy, tokens
}
