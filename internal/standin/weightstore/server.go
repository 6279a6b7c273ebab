// Package weightstore simulates the platform's weight store: published versions in memory, rate-limited downloads,
// and injectable latency and outages.
package weightstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	"github.com/corkpulley/corkpulley/internal/standin/httpserver"
)

// Config configures a Server.
type Config struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	// DownloadsPerSecond is the download rate limit; 0 for no limit.
	DownloadsPerSecond float64 `arg:"--downloads-per-second" help:"downloads a second (0: no limit)"`
	// Burst is the number of downloads allowed at once; at least 1.
	Burst int `arg:"--burst" default:"1" help:"downloads that may come at once"`
	// Latency is the delay of each response.
	Latency time.Duration `arg:"--latency" help:"delay of each answer"`
}

// Control is the body of POST /v1/control. Absent fields change nothing.
type Control struct {
	// Down makes each call fail with 503.
	Down *bool `json:"down,omitempty"`
	// LatencyMS is the delay of each response in milliseconds.
	LatencyMS *int64 `json:"latency_ms,omitempty"`
}

// model is the state of a model in the store.
type model struct {
	latest   uint64
	versions map[uint64]weightstore.PublishRequest
}

// Server is a simulated weight store.
type Server struct {
	*httpserver.Listener
	config  Config
	limiter *rate.Limiter

	mu      sync.Mutex
	down    bool
	latency time.Duration
	models  map[string]*model
}

// New returns a store without models.
func New(config Config) *Server {
	limit := rate.Inf
	if config.DownloadsPerSecond > 0 {
		limit = rate.Limit(config.DownloadsPerSecond)
	}
	return &Server{
		Listener: httpserver.NewListener("weight store stand-in", config.Listen),
		config:   config,
		limiter:  rate.NewLimiter(limit, max(1, config.Burst)),
		latency:  config.Latency,
		models:   make(map[string]*model),
	}
}

// Run listens and serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return s.Serve(ctx, s.Handler())
}

// Handler returns the store's API and the fault injection endpoint.
func (s *Server) Handler() http.Handler {
	// Model names may contain slashes, so paths are matched in their escaped form.
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/v1/control", s.handleControl).Methods(http.MethodPost)
	store := router.PathPrefix("/v1/models").Subrouter()
	store.HandleFunc("/{model}", s.handleInfo).Methods(http.MethodGet)
	store.HandleFunc("/{model}", s.handlePublish).Methods(http.MethodPost)
	store.HandleFunc("/{model}/versions/{version:[0-9]+}", s.handleDownload).Methods(http.MethodGet)
	store.Use(s.withFaults)
	return router
}

// withFaults delays and fails calls as set through Control.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.mu.Lock()
		down, latency := s.down, s.latency
		s.mu.Unlock()
		if latency > 0 && !retry.Sleep(request.Context(), latency) {
			return
		}
		if down {
			http.Error(writer, "store is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// modelName returns the model in the request's path. The escaping is valid: net/http rejects other paths.
func modelName(request *http.Request) string {
	name, _ := url.PathUnescape(mux.Vars(request)["model"])
	return name
}

func (s *Server) handleInfo(writer http.ResponseWriter, request *http.Request) {
	name := modelName(request)
	info := weightstore.ModelInfo{Model: name}
	s.mu.Lock()
	if held, found := s.models[name]; found {
		info.Latest = held.latest
	}
	s.mu.Unlock()
	httpserver.WriteJSON(writer, http.StatusOK, info)
}

func (s *Server) handlePublish(writer http.ResponseWriter, request *http.Request) {
	var message weightstore.PublishRequest
	if !httpserver.DecodeJSON(writer, request, &message) {
		return
	}
	if err := s.Publish(modelName(request), message); err != nil {
		http.Error(writer, err.Error(), http.StatusConflict)
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}

// Publish adds a version. Versions must increase; publishing a known version again has no effect.
func (s *Server) Publish(name string, request weightstore.PublishRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.models[name]
	if !found {
		held = &model{versions: make(map[uint64]weightstore.PublishRequest)}
	}
	if _, published := held.versions[request.Version]; published {
		return nil
	}
	if request.Version <= held.latest || request.SizeBytes < 0 {
		return errors.Errorf("version %d must be above %d, and its size not negative", request.Version, held.latest)
	}
	held.latest = request.Version
	held.versions[request.Version] = request
	s.models[name] = held
	return nil
}

func (s *Server) handleDownload(writer http.ResponseWriter, request *http.Request) {
	version, err := strconv.ParseUint(mux.Vars(request)["version"], 10, 64)
	if err != nil {
		http.Error(writer, "version is not a number", http.StatusBadRequest)
		return
	}
	published, found := s.published(modelName(request), version)
	if !found {
		http.Error(writer, "version not found", http.StatusNotFound)
		return
	}
	if !s.limiter.Allow() {
		writer.Header().Set("Retry-After", strconv.Itoa(s.retryAfterSeconds()))
		http.Error(writer, "over the download rate", http.StatusTooManyRequests)
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, published)
}

func (s *Server) published(name string, version uint64) (weightstore.PublishRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.models[name]
	if !found {
		return weightstore.PublishRequest{}, false
	}
	published, found := held.versions[version]
	return published, found
}

// retryAfterSeconds returns the time until the next allowed download, in whole seconds.
func (s *Server) retryAfterSeconds() int {
	perDownload := time.Duration(float64(time.Second) / s.config.DownloadsPerSecond)
	return max(1, int((perDownload+time.Second-1)/time.Second))
}

func (s *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	var control Control
	if !httpserver.DecodeJSON(writer, request, &control) {
		return
	}
	s.Control(control)
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}

// Control applies injected faults.
func (s *Server) Control(control Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if control.Down != nil {
		s.down = *control.Down
	}
	if control.LatencyMS != nil {
		s.latency = time.Duration(*control.LatencyMS) * time.Millisecond
	}
}
