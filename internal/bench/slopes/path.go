package slopes

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// pathRequests are sent for each point, pathConcurrency at once.
	pathRequests    = 256
	pathConcurrency = 16
)

// answerShape is the answer of a hollow dispatcher or engine.
type answerShape struct {
	chunks, tokensPerChunk int
	// held answers send their chunks and then stay open.
	held bool
}

func (s answerShape) tokens() int { return s.chunks * s.tokensPerChunk }

// path is one part of the way of a request, driven from outside.
type path interface {
	// request runs one request to its end.
	request(ctx context.Context, shape answerShape) error
	close()
}

// shapes hands the shape of the answer to the hollow far end.
type shapes struct{ current atomic.Pointer[answerShape] }

func (s *shapes) set(shape answerShape) { s.current.Store(&shape) }
func (s *shapes) get() answerShape      { return *s.current.Load() }

func pathSweeps() []sweep {
	var sweeps []sweep
	for _, part := range []struct {
		name string
		role Role
		open func() (path, error)
	}{
		{"gateway path", RoleGateway, openGatewayPath},
		{"dispatcher path", RoleDispatcher, openDispatcherPath},
		{"engine adapter", RoleDispatcher, openEngineAdapter},
	} {
		sweeps = append(sweeps,
			sweep{
				name: part.name + " per request against chunks", role: part.role,
				size: "chunks of the answer", unit: UnitMicroseconds, sizes: []int{8, 32, 128, 256}, repetitions: 2,
				measure: func(ctx context.Context, size int) (float64, error) {
					return pathCost(ctx, part.open, answerShape{chunks: size, tokensPerChunk: 1})
				},
			},
			sweep{
				name: part.name + " per request against tokens in 16 chunks", role: part.role,
				size: "tokens of the answer", unit: UnitMicroseconds, sizes: []int{16, 64, 256, 512}, repetitions: 2,
				measure: func(ctx context.Context, size int) (float64, error) {
					return pathCost(ctx, part.open, answerShape{chunks: 16, tokensPerChunk: size / 16})
				},
			})
	}
	return sweeps
}

// pathCost returns the processor time of one request, hollow ends included.
func pathCost(ctx context.Context, open func() (path, error), shape answerShape) (float64, error) {
	opened, err := open()
	if err != nil {
		return 0, err
	}
	defer opened.close()
	if err := sendMany(ctx, opened, shape, 2*pathConcurrency); err != nil {
		return 0, errors.Wrap(err, "warm up")
	}
	total, err := processorMicroseconds(func() error { return sendMany(ctx, opened, shape, pathRequests) })
	return total / pathRequests, err
}

// sendMany sends requests, pathConcurrency at once.
func sendMany(ctx context.Context, through path, shape answerShape, count int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(pathConcurrency)
	for range count {
		group.Go(func() error { return through.request(ctx, shape) })
	}
	return group.Wait()
}

// closers closes what was opened, the last one first.
type closers struct {
	mutex sync.Mutex
	list  []func()
}

func (c *closers) add(closing func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.list = append(c.list, closing)
}

func (c *closers) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index := len(c.list) - 1; index >= 0; index-- {
		c.list[index]()
	}
	c.list = nil
}
