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

// downloadPatience bounds the tries of one download.
const downloadPatience = 10 * time.Minute

// modelState is one model that the engine holds.
type modelState struct {
	// version is the one whole in memory; 0 while there is none.
	version uint64
	// swapping pauses the model's requests.
	swapping bool
	// broken: a load failed part-way, so that no version is whole.
	broken bool
}

// load is one accepted order to load a version. Loads run one after the other.
type load struct {
	order   engine.Order
	history *OrderHistory
}

func (l *load) target() engine.ModelVersion {
	return engine.ModelVersion{Model: l.order.Model, Version: l.order.Version}
}

// wholeModels lists the models that can run, sorted by name.
func (s *Server) wholeModels() []engine.ModelVersion {
	models := make([]engine.ModelVersion, 0, len(s.models))
	for name, model := range s.models {
		if !model.broken && model.version > 0 {
			models = append(models, engine.ModelVersion{Model: name, Version: model.version})
		}
	}
	slices.SortFunc(models, func(a, b engine.ModelVersion) int { return cmp.Compare(a.Model, b.Model) })
	return models
}

// enqueueLoad takes a load order. The caller holds the lock. A waiting load of
// the same model gives way to the new one; the one that runs is finished first.
func (s *Server) enqueueLoad(order engine.Order, history *OrderHistory) {
	if s.loadIsNeedless(order) {
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
	s.announce()
	if len(s.loads) == 1 {
		go s.runLoads()
	}
}

// loadIsNeedless tells whether the version is there or on its way already.
func (s *Server) loadIsNeedless(order engine.Order) bool {
	for index := len(s.loads) - 1; index >= 0; index-- {
		if s.loads[index].order.Model == order.Model {
			return s.loads[index].order.Version == order.Version
		}
	}
	model, held := s.models[order.Model]
	return held && !model.broken && model.version == order.Version
}

// runLoads runs the accepted loads; it ends when there is none left.
func (s *Server) runLoads() {
	for {
		s.mu.Lock()
		if len(s.loads) == 0 || s.dead {
			s.mu.Unlock()
			return
		}
		current := s.loads[0]
		s.mu.Unlock()

		result := s.runLoad(current.target())

		s.mu.Lock()
		current.history.Result = result
		s.loads = slices.Delete(s.loads, 0, 1)
		s.announce()
		s.mu.Unlock()
	}
}

// runLoad downloads a version while the old one goes on, then swaps it in. A
// failed download leaves the old version whole.
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

// beginSwap pauses the model's requests and decides whether the swap fails.
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

// breakSequences ends the streams of a model's unfinished requests.
func (s *Server) breakSequences(model string) {
	for _, current := range s.sequences {
		if current.request.Model == model {
			s.end(current, engine.FinishError, true)
		}
	}
}

// download fetches the weights, trying again while the store is slow, down or
// over its rate. A version that the store does not have is a permanent error.
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
	_, err := backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(downloadPatience))
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

// retryAfter turns the header's whole seconds into a delay for the next try.
func retryAfter(header string) error {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 1 {
		return errors.New("weight store is over its rate")
	}
	return backoff.RetryAfter(seconds)
}
