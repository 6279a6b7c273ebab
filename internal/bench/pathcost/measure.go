package pathcost

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/bench/process"
	standin "github.com/corkpulley/corkpulley/internal/standin/engine"
)

const (
	// longRequests and shortRequests are sent for each stream in one round.
	longRequests  = 4
	shortRequests = 16
	// shortTokens is the length of a short answer: nearly all of its cost is
	// that of the request.
	shortTokens = 1
)

// way is one way to the engine with the processes that make it up.
type way struct {
	client *client
	usages []string
}

// measure starts the processes, and measures both ways in turn.
func measure(ctx context.Context, arguments *Arguments) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	engineAddress, err := startEngine(ctx, arguments)
	if err != nil {
		return Report{}, err
	}
	group := &process.Group{}
	defer group.KillAll()
	plain, path, err := startWays(ctx, group, engineAddress)
	if err != nil {
		return Report{}, err
	}
	var samples samples
	for round := range arguments.Rounds + 1 {
		plainSides, err := plain.round(ctx, arguments)
		if err != nil {
			return Report{}, errors.Wrap(err, "plain")
		}
		pathSides, err := path.round(ctx, arguments)
		if err != nil {
			return Report{}, errors.Wrap(err, "path")
		}
		// The first round warms connections and memory up.
		if round > 0 {
			samples.add(plainSides[0], pathSides)
		}
	}
	return samples.report(arguments), nil
}

// startEngine runs the stand-in in this process, which is not measured.
func startEngine(ctx context.Context, arguments *Arguments) (string, error) {
	engine := standin.New(standin.Config{
		ID: engineID, Zone: zone, Pool: pool, Models: []string{model},
		MaxBatch: maxStreams, TokenInterval: arguments.TokenInterval,
	})
	ended := make(chan error, 1)
	go func() { ended <- engine.Run(ctx) }()
	select {
	case <-engine.Ready():
		return engine.Address(), nil
	case err := <-ended:
		return "", errors.Wrap(err, "engine stand-in ended")
	}
}

func startWays(ctx context.Context, group *process.Group, engineAddress string) (plain, path way, err error) {
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
	plain = way{client: newPlainClient(baseline.Address), usages: []string{baseline.Usage}}
	path = way{client: newPathClient(first.Address), usages: []string{first.Usage, second.Usage}}
	return plain, path, nil
}

// round measures each process of the way once.
func (w *way) round(ctx context.Context, arguments *Arguments) ([]Side, error) {
	short := arguments.Streams * shortRequests
	shortUsages, err := w.load(ctx, short, arguments.Streams, shortTokens)
	if err != nil {
		return nil, err
	}
	long := arguments.Streams * longRequests
	longUsages, err := w.load(ctx, long, arguments.Streams, arguments.Tokens)
	if err != nil {
		return nil, err
	}
	sides := make([]Side, len(w.usages))
	for index := range sides {
		sides[index] = split(perRequest(shortUsages[index], short), perRequest(longUsages[index], long), arguments.Tokens)
	}
	return sides, nil
}

// load sends requests and returns what each process of the way used for them.
func (w *way) load(ctx context.Context, requests, streams, tokens int) ([]Usage, error) {
	before, err := w.usage(ctx)
	if err != nil {
		return nil, err
	}
	if err := w.client.run(ctx, requests, streams, tokens); err != nil {
		return nil, err
	}
	after, err := w.usage(ctx)
	if err != nil {
		return nil, err
	}
	for index := range after {
		after[index] = after[index].minus(before[index])
	}
	return after, nil
}

func (w *way) usage(ctx context.Context) ([]Usage, error) {
	usages := make([]Usage, len(w.usages))
	for index, address := range w.usages {
		usage, err := readUsage(ctx, address)
		if err != nil {
			return nil, err
		}
		usages[index] = usage
	}
	return usages, nil
}
