package pathcost

import (
	"slices"
	"time"
)

// perRequest returns the mean cost of one request.
func perRequest(usage Usage, requests int) Cost {
	count := float64(requests)
	return Cost{
		Microseconds: float64(usage.CPUTime) / float64(time.Microsecond) / count,
		Allocations:  float64(usage.Allocations) / count,
		Bytes:        float64(usage.Bytes) / count,
	}
}

// split separates the cost per chunk from the fixed cost per request. short and
// long are the costs of requests with shortTokens chunks and with tokens chunks.
func split(short, long Cost, tokens int) RouteCost {
	chunk := long.plus(short, -1).scaled(1 / float64(tokens-shortTokens))
	return RouteCost{PerChunk: chunk, PerRequest: short.plus(chunk, -shortTokens)}
}

// plus returns c + times*other.
func (c Cost) plus(other Cost, times float64) Cost {
	return Cost{
		Microseconds: c.Microseconds + times*other.Microseconds,
		Allocations:  c.Allocations + times*other.Allocations,
		Bytes:        c.Bytes + times*other.Bytes,
	}
}

func (c Cost) scaled(factor float64) Cost { return Cost{}.plus(c, factor) }

func (r RouteCost) plus(other RouteCost) RouteCost {
	return RouteCost{PerChunk: r.PerChunk.plus(other.PerChunk, 1), PerRequest: r.PerRequest.plus(other.PerRequest, 1)}
}

// samples holds the results of each round.
type samples struct {
	plain, gateway, dispatcher, path []RouteCost
}

// add appends the results of one round. path holds those of the gateway and the dispatcher.
func (s *samples) add(plain RouteCost, path []RouteCost) {
	s.plain = append(s.plain, plain)
	s.gateway = append(s.gateway, path[0])
	s.dispatcher = append(s.dispatcher, path[1])
	s.path = append(s.path, path[0].plus(path[1]))
}

func (s *samples) report(arguments *Arguments) Report {
	report := Report{
		Rounds:     arguments.Rounds,
		Streams:    arguments.Streams,
		Tokens:     arguments.Tokens,
		Plain:      medianRouteCost(s.plain),
		Path:       medianRouteCost(s.path),
		Gateway:    medianRouteCost(s.gateway),
		Dispatcher: medianRouteCost(s.dispatcher),
	}
	ratios := make([]float64, len(s.path))
	for index := range ratios {
		ratios[index] = s.path[index].PerChunk.Microseconds / s.plain[index].PerChunk.Microseconds
	}
	report.ChunkRatio = report.Path.PerChunk.Microseconds / report.Plain.PerChunk.Microseconds
	report.RequestRatio = report.Path.PerRequest.Microseconds / report.Plain.PerRequest.Microseconds
	report.ChunkRatioLowest = slices.Min(ratios)
	report.ChunkRatioHighest = slices.Max(ratios)
	return report
}

func medianRouteCost(costs []RouteCost) RouteCost {
	return RouteCost{
		PerChunk:   medianCost(costs, func(cost RouteCost) Cost { return cost.PerChunk }),
		PerRequest: medianCost(costs, func(cost RouteCost) Cost { return cost.PerRequest }),
	}
}

func medianCost(costs []RouteCost, of func(RouteCost) Cost) Cost {
	pick := func(field func(Cost) float64) float64 {
		values := make([]float64, len(costs))
		for index, routeCost := range costs {
			values[index] = field(of(routeCost))
		}
		return median(values)
	}
	return Cost{
		Microseconds: pick(func(cost Cost) float64 { return cost.Microseconds }),
		Allocations:  pick(func(cost Cost) float64 { return cost.Allocations }),
		Bytes:        pick(func(cost Cost) float64 { return cost.Bytes }),
	}
}

// median returns the median of the values. It sorts them in place; there must be at least one.
func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
