package weights

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

const (
	// storePollInterval is the polling interval while the store is available.
	storePollInterval = time.Second
	// storeTimeout limits one request to the store.
	storeTimeout = 3 * time.Second
)

// storeBackoff is the backoff while the store is unavailable.
var storeBackoff = retry.Policy{First: storePollInterval, Longest: 15 * time.Second}

// versionTracker tracks the latest version in the weight store and keeps the last
// known version while the store is unavailable. It is not safe for concurrent use.
type versionTracker struct {
	store  weightstore.Store
	model  string
	logger zerolog.Logger

	latest   uint64
	nextPoll time.Time
	delays   *backoff.ExponentialBackOff
	failed   bool
}

func newVersionTracker(store weightstore.Store, model string, logger zerolog.Logger) *versionTracker {
	return &versionTracker{store: store, model: model, logger: logger, delays: storeBackoff.Delays()}
}

// get returns the pinned version, or the latest known version; 0 if there is none.
func (v *versionTracker) get(ctx context.Context, pinned uint64) uint64 {
	if pinned != policy.VersionLatest {
		return pinned
	}
	if now := time.Now(); !now.Before(v.nextPoll) {
		v.poll(ctx, now)
	}
	return v.latest
}

func (v *versionTracker) poll(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	info, err := v.store.Info(ctx, v.model)
	if err != nil {
		v.recordFailure(err, now)
		return
	}
	v.failed = false
	v.delays.Reset()
	v.nextPoll = now.Add(storePollInterval)
	// Versions only increase; a lower one is from a delayed response.
	v.latest = max(v.latest, info.Latest)
}

func (v *versionTracker) recordFailure(err error, now time.Time) {
	if !v.failed {
		v.logger.Warn().Err(err).Uint64("version", v.latest).Msg("weight store unavailable, keeping last known version")
	}
	v.failed = true
	v.nextPoll = now.Add(v.delays.NextBackOff())
}
