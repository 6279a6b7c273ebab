package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
	"github.com/corkpulley/corkpulley/internal/standin/httpserver"
)

const (
	// maxRequestBytes is the maximum size of a request body.
	maxRequestBytes = 64 << 20
	// defaultWatchInterval applies to watch requests without an interval.
	defaultWatchInterval = time.Second
)

// Control is the body of POST /v1/control, which injects faults. Absent fields change nothing.
type Control struct {
	// Drain makes the engine refuse new requests.
	Drain *bool `json:"drain,omitempty"`
	// Stall stops the generation of tokens.
	Stall *bool `json:"stall,omitempty"`
	// Crash closes all connections and makes Run return ErrCrashed.
	Crash bool `json:"crash,omitempty"`
	// RepeatChunks sends each chunk twice, the first time preceded by tokens that were sent before.
	RepeatChunks *bool `json:"repeat_chunks,omitempty"`
	// FailNextLoads is the number of following loads that fail during the swap.
	FailNextLoads *int `json:"fail_next_loads,omitempty"`
}

// Handler returns the engine's API, fault injection and history endpoints.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(enginehttp.PathGenerate, s.handleGenerate).Methods(http.MethodPost)
	router.HandleFunc(enginehttp.PathCancel, s.handleCancel).Methods(http.MethodPost)
	router.HandleFunc(enginehttp.PathStatus, s.handleStatus).Methods(http.MethodGet)
	router.HandleFunc(enginehttp.PathWatch, s.handleWatch).Methods(http.MethodGet)
	router.HandleFunc(enginehttp.PathOrders, s.handleOrder).Methods(http.MethodPost)
	router.HandleFunc(enginehttp.PathKVExport, s.handleKVExport).Methods(http.MethodPost)
	router.HandleFunc(enginehttp.PathKVImport, s.handleKVImport).Methods(http.MethodPost)
	router.HandleFunc("/v1/control", s.handleControl).Methods(http.MethodPost)
	router.HandleFunc("/v1/history", s.handleHistory).Methods(http.MethodGet)
	router.Use(s.rejectIfCrashed)
	return router
}

// rejectIfCrashed aborts connections to a crashed engine.
func (s *Server) rejectIfCrashed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		select {
		case <-s.crashed:
			abortConnection()
		default:
			next.ServeHTTP(writer, request)
		}
	})
}

func (s *Server) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var message engine.GenerateRequest
	if !decodeRequest(writer, request, &message) {
		return
	}
	current, from, refusal := s.attach(message)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	defer s.detach(current)
	lines := newLineWriter(writer)
	send := func(chunks []engine.Chunk) error {
		for index := range chunks {
			if err := lines.encoder.Encode(&chunks[index]); err != nil {
				return err
			}
		}
		return lines.controller.Flush()
	}
	if !s.relayChunks(request.Context(), current, from, send) {
		abortConnection()
	}
}

// lineWriter writes newline-delimited JSON.
type lineWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

// newLineWriter sends the headers immediately, so that the client knows that the request was accepted.
func newLineWriter(writer http.ResponseWriter) lineWriter {
	writer.Header().Set("Content-Type", "application/x-ndjson")
	writer.WriteHeader(http.StatusOK)
	lines := lineWriter{encoder: json.NewEncoder(writer), controller: http.NewResponseController(writer)}
	_ = lines.controller.Flush()
	return lines
}

func (s *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	interval := defaultWatchInterval
	milliseconds, err := strconv.ParseInt(request.URL.Query().Get(enginehttp.QueryInterval), 10, 32)
	if err == nil && milliseconds > 0 {
		interval = time.Duration(milliseconds) * time.Millisecond
	}
	lines := newLineWriter(writer)
	s.watch(request.Context(), interval, func(event engine.Event) error {
		if err := lines.encoder.Encode(event); err != nil {
			return err
		}
		return lines.controller.Flush()
	})
}

func (s *Server) handleCancel(writer http.ResponseWriter, request *http.Request) {
	var message engine.CancelRequest
	if !decodeRequest(writer, request, &message) {
		return
	}
	if !s.cancel(message) {
		writeRefusal(writer, unknownStream())
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	httpserver.WriteJSON(writer, http.StatusOK, s.Status())
}

func (s *Server) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var message engine.Order
	if !decodeRequest(writer, request, &message) {
		return
	}
	if refusal := s.order(message); refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (s *Server) handleKVExport(writer http.ResponseWriter, request *http.Request) {
	var message engine.CancelRequest
	if !decodeRequest(writer, request, &message) {
		return
	}
	export, refusal := s.exportKV(message)
	if refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, export)
}

func (s *Server) handleKVImport(writer http.ResponseWriter, request *http.Request) {
	var message engine.KVExport
	if !decodeRequest(writer, request, &message) {
		return
	}
	handle, err := s.importKV(message)
	if err != nil {
		writeRefusal(writer, &engine.Refusal{Code: engine.CodeInvalid, Message: err.Error()})
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, handle)
}

func (s *Server) handleHistory(writer http.ResponseWriter, _ *http.Request) {
	httpserver.WriteJSON(writer, http.StatusOK, s.History())
}

func (s *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	var control Control
	if !decodeRequest(writer, request, &control) {
		return
	}
	s.Control(control)
	httpserver.WriteJSON(writer, http.StatusOK, struct{}{})
}

// Control applies injected faults.
func (s *Server) Control(control Control) {
	if control.Crash {
		s.crash()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if control.Drain != nil {
		s.setDraining(*control.Drain)
	}
	if control.Stall != nil {
		s.stalled = *control.Stall
	}
	if control.RepeatChunks != nil {
		s.repeatChunks = *control.RepeatChunks
	}
	if control.FailNextLoads != nil {
		s.failNextLoads = max(0, *control.FailNextLoads)
	}
}

// decodeRequest decodes the body, or writes a refusal and returns false.
func decodeRequest(writer http.ResponseWriter, request *http.Request, message any) bool {
	body := http.MaxBytesReader(writer, request.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(message); err != nil {
		writeRefusal(writer, &engine.Refusal{Code: engine.CodeInvalid, Message: err.Error()})
		return false
	}
	return true
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(code string) int {
	switch code {
	case engine.CodeInvalid:
		return http.StatusBadRequest
	case engine.CodeUnknownStream:
		return http.StatusNotFound
	case engine.CodeDraining, engine.CodeOverloaded, engine.CodeBroken:
		return http.StatusServiceUnavailable
	default:
		return http.StatusConflict
	}
}

func writeRefusal(writer http.ResponseWriter, refusal *engine.Refusal) {
	httpserver.WriteJSON(writer, refusalStatus(refusal.Code), refusal)
}
