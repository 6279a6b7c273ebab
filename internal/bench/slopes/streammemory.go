package slopes

import (
	"context"

	"github.com/go-faster/errors"
)

// holder is a path that can keep requests open.
type holder interface {
	path
	// hold starts a request and returns once its first token has arrived. The
	// request stays open until ctx ends.
	hold(ctx context.Context) error
}

// heldShape is an answer that stops after its first token.
var heldShape = answerShape{chunks: 1, tokensPerChunk: 1, held: true}

func streamMemorySweeps() []sweep {
	return []sweep{
		{
			name: "memory of open requests at the gateway", role: RoleGateway,
			size: "open requests", unit: UnitBytes, sizes: []int{25, 50, 100, 200}, repetitions: 2,
			measure: func(ctx context.Context, size int) (float64, error) { return heldBytes(ctx, openGatewayPath, size) },
		},
		{
			name: "memory of open streams at the dispatcher", role: RoleDispatcher,
			size: "open streams", unit: UnitBytes, sizes: []int{25, 50, 100, 200}, repetitions: 2,
			measure: func(ctx context.Context, size int) (float64, error) { return heldBytes(ctx, openDispatcherPath, size) },
		},
	}
}

// heldBytes returns the bytes of heap and stacks that open requests keep, on
// both sides of the transport and at the hollow ends.
func heldBytes(ctx context.Context, open func() (path, error), count int) (float64, error) {
	opened, err := open()
	if err != nil {
		return 0, err
	}
	defer opened.close()
	through, ok := opened.(holder)
	if !ok {
		return 0, errors.New("this path holds no requests")
	}
	if err := sendMany(ctx, opened, answerShape{chunks: 1, tokensPerChunk: 1}, pathConcurrency); err != nil {
		return 0, errors.Wrap(err, "warm up")
	}
	holding, release := context.WithCancel(ctx)
	defer release()
	return bytesHeld(func() (any, error) {
		for range count {
			if err := through.hold(holding); err != nil {
				return nil, err
			}
		}
		return through, nil
	})
}
