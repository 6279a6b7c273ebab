// Package machines simulates the platform's machine list: in memory, returned with a configurable lag, and with
// injectable outages.
package machines

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/platform/machines"
	"github.com/corkpulley/corkpulley/internal/standin/httpserver"
)

const defaultExpiry = 5 * time.Second

// Config configures a Server.
type Config struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	// Lag is the age of the returned list.
	Lag time.Duration `arg:"--lag" help:"age of the list that is answered"`
	// Expiry is the time without a heartbeat after which a machine is removed. Defaults to 5 s.
	Expiry time.Duration `arg:"--expiry" default:"5s" help:"time after which a silent machine is dropped"`
}

// Control is the body of POST /v1/control. Absent fields change nothing.
type Control struct {
	// Down makes each call fail with 503.
	Down *bool `json:"down,omitempty"`
}

// Server is a simulated machine list.
type Server struct {
	*httpserver.Listener
	config Config

	mu      sync.Mutex
	down    bool
	history *history
}

// New returns a server with an empty list.
func New(config Config) *Server {
	if config.Expiry == 0 {
		config.Expiry = defaultExpiry
	}
	return &Server{
		Listener: httpserver.NewListener("machine list stand-in", config.Listen),
		config:   config,
		history:  newHistory(config.Lag, config.Expiry),
	}
}

// Run listens and serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return s.Serve(ctx, s.Handler())
}

// Handler returns the list's API and the fault injection endpoint.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/control", s.handleControl).Methods(http.MethodPost)
	list := router.PathPrefix("/v1/machines").Subrouter()
	list.HandleFunc("", s.handleList).Methods(http.MethodGet)
	list.HandleFunc("/{id}", s.handlePut).Methods(http.MethodPut)
	list.HandleFunc("/{id}", s.handleDelete).Methods(http.MethodDelete)
	list.Use(s.withFaults)
	return router
}

func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			http.Error(writer, "machine list is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// handleList returns the list, or 304 if it matches the request's ETag.
func (s *Server) handleList(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	list := s.history.list(time.Now())
	s.mu.Unlock()
	encoded, err := json.Marshal(list)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := `"` + strconv.FormatUint(xxhash.Sum64(encoded), 16) + `"`
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(encoded)
}

func (s *Server) handlePut(writer http.ResponseWriter, request *http.Request) {
	var machine machines.Machine
	if !httpserver.DecodeJSON(writer, request, &machine) {
		return
	}
	if machine.ID != mux.Vars(request)["id"] || machine.Address == "" {
		http.Error(writer, "the id must match the path, and an address is required", http.StatusBadRequest)
		return
	}
	if machine.State == "" {
		machine.State = machines.StateLive
	}
	s.mu.Lock()
	s.history.put(machine, time.Now())
	s.mu.Unlock()
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleDelete(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	s.history.remove(mux.Vars(request)["id"], time.Now())
	s.mu.Unlock()
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	var control Control
	if !httpserver.DecodeJSON(writer, request, &control) {
		return
	}
	s.mu.Lock()
	if control.Down != nil {
		s.down = *control.Down
	}
	s.mu.Unlock()
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}
