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
	// storePollInterval is the time between two questions to a store that answers.
	storePollInterval = time.Second
	// storeTimeout bounds one question.
	storeTimeout = 3 * time.Second
)

// storeRetries paces the questions to a store that does not answer.
var storeRetries = retry.Policy{First: storePollInterval, Longest: 15 * time.Second}

// wantedVersion follows the latest version in the weight store. While the store
// is down the last known version stays. It is used by one goroutine.
type wantedVersion struct {
	store  weightstore.Store
	model  string
	logger zerolog.Logger

	latest uint64
	next   time.Time
	delays *backoff.ExponentialBackOff
	failed bool
}

func newWantedVersion(store weightstore.Store, model string, logger zerolog.Logger) *wantedVersion {
	return &wantedVersion{store: store, model: model, logger: logger, delays: storeRetries.Delays()}
}

// get returns the pinned version, or the latest known; 0 when there is none.
func (w *wantedVersion) get(ctx context.Context, pinned uint64) uint64 {
	if pinned != policy.VersionLatest {
		return pinned
	}
	if now := time.Now(); !now.Before(w.next) {
		w.poll(ctx, now)
	}
	return w.latest
}

func (w *wantedVersion) poll(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	info, err := w.store.Info(ctx, w.model)
	if err != nil {
		w.fail(err, now)
		return
	}
	w.failed = false
	w.delays.Reset()
	w.next = now.Add(storePollInterval)
	// Versions only rise; a lower answer is an old one that came late.
	w.latest = max(w.latest, info.Latest)
}

func (w *wantedVersion) fail(err error, now time.Time) {
	if !w.failed {
		w.logger.Warn().Err(err).Uint64("version", w.latest).Msg("weight store does not answer, last known version stays")
	}
	w.failed = true
	w.next = now.Add(w.delays.NextBackOff())
}
