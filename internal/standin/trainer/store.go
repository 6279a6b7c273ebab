package trainer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

const (
	// storeRetryDelay is the delay between attempts to call the weight store.
	storeRetryDelay = 200 * time.Millisecond
	// storeTimeout limits one attempt.
	storeTimeout = 10 * time.Second
)

// publish publishes a version to the weight store, if one is configured.
func (t *Trainer) publish(ctx context.Context, version uint64) error {
	if t.store == nil {
		return nil
	}
	return t.retryStore(ctx, func(ctx context.Context) error {
		request := weightstore.PublishRequest{Version: version, SizeBytes: t.config.WeightBytes}
		return t.store.Publish(ctx, t.config.Model, request)
	})
}

// retryStore repeats the call until it succeeds or ctx ends.
func (t *Trainer) retryStore(ctx context.Context, call func(context.Context) error) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		if !retry.Sleep(ctx, storeRetryDelay) {
			return errors.Wrapf(ctx.Err(), "call weight store (last error: %v)", err)
		}
	}
}
