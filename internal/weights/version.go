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

// storeRetries is the backoff while the store is unavailable.
var storeRetries = retry.Policy{First: storePollInterval, Longest: 15 * time.Second}

// wantedVersion tracks the latest version in the weight store and keeps the last
// known version while the store is unavailable. It is not safe for concurrent use.
type wantedVersion struct {
	store  weightstore.Store
	model  string
	logger zerolog.Logger

	latest   uint64
	nextPoll time.Time
	delays   *backoff.ExponentialBackOff
	failed   bool
}

func newWantedVersion(store weightstore.Store, model string, logger zerolog.Logger) *wantedVersion {
	return &wantedVersion{store: store, model: model, logger: logger, delays: storeRetries.Delays()}
}

// get returns the pinned version, or the latest known version; 0 if there is none.
func (w *wantedVersion) get(ctx context.Context, pinned uint64) uint64 {
	if pinned != policy.VersionLatest {
		return pinned
	}
	if now := time.Now(); !now.Before(w.nextPoll) {
		w.poll(ctx, now)
	}
	return w.latest
}

func (w *wantedVersion) poll(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	info, err := w.store.Info(ctx, w.model)
	if err != nil {
		w.recordFailure(err, now)
		return
	}
	w.failed = false
	w.delays.Reset()
	w.nextPoll = now.Add(storePollInterval)
	// Versions only increase; a lower one is from a delayed response.
	w.latest = max(w.latest, info.Latest)
}

func (w *wantedVersion) recordFailure(err error, now time.Time) {
	if !w.failed {
		w.logger.Warn().Err(err).Uint64("version", w.latest).Msg("weight store unavailable, keeping last known version")
	}
	w.failed = true
	w.nextPoll = now.Add(w.delays.NextBackOff())
}
