package pathcost

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/process"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
)

const (
	// longRequests and shortRequests are the numbers of requests per stream and round.
	longRequests  = 4
	shortRequests = 16
	// shortTokens is the length of a short response, whose cost is almost
	// entirely the fixed cost per request.
	shortTokens = 1
)

// route is one of the compared routes to the engine. usages holds the usage
// endpoint of each of its processes.
type route struct {
	client         *client
	usageAddresses []string
}

// measure starts the processes and measures both routes alternately.
func measure(ctx context.Context, arguments *Arguments) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engineAddress, err := startEngine(ctx, arguments)
	if err != nil {
		return Report{}, err
	}
	group := &process.Group{}
	defer group.KillAll()
	plain, path, err := startRoutes(ctx, group, engineAddress)
	if err != nil {
		return Report{}, err
	}
	var samples samples
	for round := range arguments.Rounds + 1 {
		plainCosts, err := plain.round(ctx, arguments)
		if err != nil {
			return Report{}, errors.Wrap(err, "measure the reverse proxy route")
		}
		pathCosts, err := path.round(ctx, arguments)
		if err != nil {
			return Report{}, errors.Wrap(err, "measure the gateway and dispatcher route")
		}
		// The first round is a warm-up and is not counted.
		if round > 0 {
			samples.add(plainCosts[0], pathCosts)
		}
	}
	return samples.report(arguments), nil
}

// startEngine runs the engine stand-in in this process, whose usage is not measured.
func startEngine(ctx context.Context, arguments *Arguments) (string, error) {
	engine := standin.New(standin.Config{
		ID: engineID, Zone: zone, Pool: pool, Models: []string{model},
		MaxBatch: maxStreams, TokenInterval: arguments.TokenInterval,
	})
	exited := make(chan error, 1)
	go func() { exited <- engine.Run(ctx) }()
	select {
	case <-engine.Ready():
		return engine.Address(), nil
	case err := <-exited:
		return "", errors.Wrap(err, "engine stand-in stopped")
	}
}

func startRoutes(ctx context.Context, group *process.Group, engineAddress string) (plain, path route, err error) {
	baseline, err := startHop(ctx, group, hopPlain, engineAddress)
	if err != nil {
		return plain, path, err
	}
	second, err := startHop(ctx, group, hopDispatcher, engineAddress)
	if err != nil {
		return plain, path, err
	}
	first, err := startHop(ctx, group, hopGateway, second.Address)
	if err != nil {
		return plain, path, err
	}
	plain = route{client: newProxyClient(baseline.Address), usageAddresses: []string{baseline.UsageAddress}}
	path = route{client: newPathClient(first.Address), usageAddresses: []string{first.UsageAddress, second.UsageAddress}}
	return plain, path, nil
}

// round measures each process of the route once.
func (r *route) round(ctx context.Context, arguments *Arguments) ([]RouteCost, error) {
	short := arguments.Streams * shortRequests
	shortUsages, err := r.load(ctx, short, arguments.Streams, shortTokens)
	if err != nil {
		return nil, err
	}
	long := arguments.Streams * longRequests
	longUsages, err := r.load(ctx, long, arguments.Streams, arguments.Tokens)
	if err != nil {
		return nil, err
	}
	costs := make([]RouteCost, len(r.usageAddresses))
	for index := range costs {
		costs[index] = split(perRequest(shortUsages[index], short), perRequest(longUsages[index], long), arguments.Tokens)
	}
	return costs, nil
}

// load sends requests and returns the resources that each process of the route used for them.
func (r *route) load(ctx context.Context, requests, streams, tokens int) ([]Usage, error) {
	before, err := r.usage(ctx)
	if err != nil {
		return nil, err
	}
	if err := r.client.run(ctx, requests, streams, tokens); err != nil {
		return nil, err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return nil, err
	}
	for index := range after {
		after[index] = after[index].minus(before[index])
	}
	return after, nil
}

func (r *route) usage(ctx context.Context) ([]Usage, error) {
	usages := make([]Usage, len(r.usageAddresses))
	for index, address := range r.usageAddresses {
		usage, err := readUsage(ctx, address)
		if err != nil {
			return nil, err
		}
		usages[index] = usage
	}
	return usages, nil
}
