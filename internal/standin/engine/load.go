package engine

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
)

// downloadTimeout limits the retries of a download.
const downloadTimeout = 10 * time.Minute

// modelState is the state of a model on the engine.
type modelState struct {
	// version is the version in memory; 0 for none.
	version uint64
	// swapping pauses the model's requests.
	swapping bool
	// broken is set if a load failed during the swap, so that no version is usable.
	broken bool
}

// load is an accepted order to load a version. Loads run one at a time.
type load struct {
	order   engine.Order
	history *OrderHistory
}

func (l *load) target() engine.ModelVersion {
	return engine.ModelVersion{Model: l.order.Model, Version: l.order.Version}
}

// loadedModels returns the models that can serve requests, sorted by name.
func (s *Server) loadedModels() []engine.ModelVersion {
	models := make([]engine.ModelVersion, 0, len(s.models))
	for name, model := range s.models {
		if !model.broken && model.version > 0 {
			models = append(models, engine.ModelVersion{Model: name, Version: model.version})
		}
	}
	slices.SortFunc(models, func(a, b engine.ModelVersion) int { return cmp.Compare(a.Model, b.Model) })
	return models
}

// enqueueLoad enqueues a load order. It replaces a waiting load of the same model, but not a running one.
// Must be called with mu held.
func (s *Server) enqueueLoad(order engine.Order, history *OrderHistory) {
	if s.loadIsRedundant(order) {
		history.Result = ResultDone
		return
	}
	for index := len(s.loads) - 1; index > 0; index-- {
		if s.loads[index].order.Model == order.Model {
			s.loads[index].history.Result = ResultSuperseded
			s.loads = slices.Delete(s.loads, index, index+1)
		}
	}
	s.loads = append(s.loads, &load{order: order, history: history})
	s.notifyStateChange()
	if len(s.loads) == 1 {
		go s.runLoads()
	}
}

// loadIsRedundant reports whether the version is already loaded or will be by the last queued load of its model.
func (s *Server) loadIsRedundant(order engine.Order) bool {
	for index := len(s.loads) - 1; index >= 0; index-- {
		if s.loads[index].order.Model == order.Model {
			return s.loads[index].order.Version == order.Version
		}
	}
	model, held := s.models[order.Model]
	return held && !model.broken && model.version == order.Version
}

// runLoads runs queued loads until none is left.
func (s *Server) runLoads() {
	for {
		s.mu.Lock()
		if len(s.loads) == 0 || s.hasCrashed {
			s.mu.Unlock()
			return
		}
		current := s.loads[0]
		s.mu.Unlock()

		result := s.runLoad(current.target())

		s.mu.Lock()
		current.history.Result = result
		s.loads = slices.Delete(s.loads, 0, 1)
		s.notifyStateChange()
		s.mu.Unlock()
	}
}

// runLoad downloads a version while the old one keeps serving, then swaps it in. The old version stays usable
// if the download fails.
func (s *Server) runLoad(target engine.ModelVersion) string {
	if err := s.download(target); err != nil {
		return ResultFailed
	}
	fails := s.beginSwap(target.Model)
	timer := time.NewTimer(s.config.LoadTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.crashed:
		return ResultFailed
	}
	return s.endSwap(target, fails)
}

// beginSwap pauses the model's requests and reports whether the swap is to fail.
func (s *Server) beginSwap(name string) (fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	model, held := s.models[name]
	if !held {
		model = &modelState{}
		s.models[name] = model
	}
	model.swapping = true
	if s.failNextLoads > 0 {
		s.failNextLoads--
		return true
	}
	return s.random.Float64() < s.config.LoadFailShare
}

func (s *Server) endSwap(target engine.ModelVersion, fails bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	model := s.models[target.Model]
	model.swapping = false
	if fails {
		model.broken = true
		s.breakSequences(target.Model)
		return ResultFailed
	}
	model.broken = false
	model.version = target.Version
	return ResultDone
}

// breakSequences aborts the streams of a model's unfinished requests.
func (s *Server) breakSequences(model string) {
	for _, current := range s.sequences {
		if current.request.Model == model {
			s.endSequence(current, engine.FinishError, true)
		}
	}
}

// download fetches the weights. It retries while the store is slow, unavailable or rate limited; a version unknown
// to the store is a permanent error.
func (s *Server) download(target engine.ModelVersion) error {
	if s.config.Store == "" {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.crashed:
			cancel()
		case <-ctx.Done():
		}
	}()
	attempt := func() (struct{}, error) { return struct{}{}, s.downloadOnce(ctx, target) }
	_, err := backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(downloadTimeout))
	return err
}

func (s *Server) downloadOnce(ctx context.Context, target engine.ModelVersion) error {
	address := weightstore.VersionURL(s.config.Store, target.Model, target.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return backoff.Permanent(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return backoff.Permanent(errors.New("version not found"))
	case http.StatusTooManyRequests:
		return retryAfter(response.Header.Get("Retry-After"))
	default:
		return errors.Errorf("weight store answered %s", response.Status)
	}
}

// retryAfter converts a Retry-After header in whole seconds to an error with that retry delay.
func retryAfter(header string) error {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 1 {
		return errors.New("weight store rate limit exceeded")
	}
	return backoff.RetryAfter(seconds)
}
