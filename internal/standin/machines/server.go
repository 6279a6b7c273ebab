// Package machines is a stand-in for the platform's list of machines: kept in
// memory, answered as it was some time ago, and able to be down.
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

// defaultExpiry stands in for a Config without an expiry.
const defaultExpiry = 5 * time.Second

// Config is the setting of one stand-in.
type Config struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	// Lag is the age of the list that is answered.
	Lag time.Duration `arg:"--lag" help:"age of the list that is answered"`
	// Expiry is the time after which a machine without a heartbeat is dropped.
	Expiry time.Duration `arg:"--expiry" default:"5s" help:"time after which a silent machine is dropped"`
}

// Control is the body of POST /v1/control. An absent field changes nothing.
type Control struct {
	// Down makes each call fail with 503.
	Down *bool `json:"down,omitempty"`
}

// Server is one stand-in.
type Server struct {
	*httpserver.Listener
	config Config

	mu      sync.Mutex
	down    bool
	history *history
}

// New returns an empty list.
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

// Handler returns the list's API and the fault control.
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

// handleList answers the list, or that it is still the one of the asker's tag.
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
