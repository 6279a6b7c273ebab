// Package logservice simulates the platform's append-only log for tests and experiments: in-memory streams, with
// faults that are set over HTTP.
package logservice

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	"github.com/corkpulley/corkpulley/internal/standin/httpserver"
)

const (
	maxAppendBytes   = 64 << 20
	maxResponseBytes = 16 << 20
	maxReadRecords   = 1000
	maxPollWait      = 60 * time.Second
)

// Config configures a Server.
type Config struct {
	Listen string `arg:"--listen" default:"127.0.0.1:7400" help:"address to listen on (ip:port)"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the random faults"`
}

// Control is the body of POST /v1/control, which replaces all faults.
type Control struct {
	// LatencyMS delays each append and read, in milliseconds.
	LatencyMS int64 `json:"latency_ms"`
	// Down makes every call fail with 503 and without an effect, but callers cannot tell that nothing was appended.
	Down bool `json:"down"`
	// LostResponseShare is the share (0..1) of appends that take effect and whose connection is closed without a
	// response.
	LostResponseShare float64 `json:"lose_answers"`
	// EffectDelayMS delays the effect of appends whose response is lost, in milliseconds.
	EffectDelayMS int64 `json:"late_ms"`
	// RefuseShare is the share (0..1) of appends that are refused explicitly.
	RefuseShare float64 `json:"refuse"`
}

// StreamEnds is the response to GET /v1/streams: the end offset of each stream.
type StreamEnds struct {
	Streams map[string]int64 `json:"streams"`
}

// Server is a simulated log service.
type Server struct {
	mu      sync.Mutex
	random  *rand.Rand
	control Control
	streams map[string]*stream
}

type stream struct {
	records [][]byte
	// appended is closed and replaced on each append.
	appended chan struct{}
}

// New returns a server without streams or faults.
func New(config Config) *Server {
	return &Server{
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed)),
		streams: make(map[string]*stream),
	}
}

// Handler returns the log's API and the fault injection endpoint.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/append", s.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/read", s.handleRead).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams", s.handleStreams).Methods(http.MethodGet)
	router.HandleFunc("/v1/control", s.handleControl).Methods(http.MethodPost)
	return router
}

// SetControl replaces all faults.
func (s *Server) SetControl(control Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = control
}

func (s *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	var control Control
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxAppendBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetControl(control)
	httpserver.WriteJSON(writer, http.StatusOK, control)
}

func (s *Server) handleStreams(writer http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	ends := StreamEnds{Streams: make(map[string]int64, len(s.streams))}
	for name, stream := range s.streams {
		ends.Streams[name] = int64(len(stream.records))
	}
	s.mu.Unlock()
	httpserver.WriteJSON(writer, http.StatusOK, ends)
}

func (s *Server) handleAppend(writer http.ResponseWriter, request *http.Request) {
	name := request.URL.Query().Get("stream")
	var body logservice.AppendRequest
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxAppendBytes)).Decode(&body)
	if err != nil || name == "" || len(body.Records) == 0 {
		http.Error(writer, "a stream name and records are required", http.StatusBadRequest)
		return
	}
	control := s.delay(request)
	if control.Down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	if s.drawFault(control.RefuseShare) {
		answer := logservice.AppendResponse{Refused: true, Message: "refused"}
		httpserver.WriteJSON(writer, http.StatusServiceUnavailable, answer)
		return
	}
	if s.drawFault(control.LostResponseShare) {
		s.appendAfter(name, body.Records, time.Duration(control.EffectDelayMS)*time.Millisecond)
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	offset := s.append(name, body.Records)
	httpserver.WriteJSON(writer, http.StatusOK, logservice.AppendResponse{Offset: offset})
}

// delay waits for the configured latency and returns the faults set after it.
func (s *Server) delay(request *http.Request) Control {
	s.mu.Lock()
	latency := time.Duration(s.control.LatencyMS) * time.Millisecond
	s.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-request.Context().Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

func (s *Server) drawFault(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

func (s *Server) appendAfter(name string, records [][]byte, after time.Duration) {
	if after <= 0 {
		s.append(name, records)
		return
	}
	time.AfterFunc(after, func() { s.append(name, records) })
}

func (s *Server) append(name string, records [][]byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(name)
	offset := int64(len(stream.records))
	stream.records = append(stream.records, records...)
	close(stream.appended)
	stream.appended = make(chan struct{})
	return offset
}

// stream returns the stream, creating it if needed. Must be called with mu held.
func (s *Server) stream(name string) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = &stream{appended: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

func (s *Server) handleRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	name := query.Get("stream")
	from, fromErr := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("limit"))
	waitMS, waitErr := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if name == "" || fromErr != nil || limitErr != nil || waitErr != nil {
		http.Error(writer, "stream, from, limit and wait_ms are required", http.StatusBadRequest)
		return
	}
	if s.delay(request).Down {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	limit = min(max(limit, 1), maxReadRecords)
	wait := min(time.Duration(waitMS)*time.Millisecond, maxPollWait)
	batch := s.poll(request, name, from, limit, wait)
	if s.isDown() {
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	httpserver.WriteJSON(writer, http.StatusOK, batch)
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.Down
}

// poll reads from the stream. If there is nothing to read, it waits for the next append and reads once more.
func (s *Server) poll(
	request *http.Request, name string, from int64, limit int, wait time.Duration,
) logservice.Batch {
	batch, appended := s.read(name, from, limit)
	if len(batch.Entries) > 0 || wait <= 0 {
		return batch
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-appended:
	case <-timer.C:
	case <-request.Context().Done():
	}
	batch, _ = s.read(name, from, limit)
	return batch
}

// read returns the records and a channel that is closed on the next append. A negative offset counts from the end.
func (s *Server) read(name string, from int64, limit int) (logservice.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(name)
	end := int64(len(stream.records))
	if from < 0 {
		from = max(0, end+from)
	}
	batch := logservice.Batch{Entries: []logservice.Entry{}, End: end}
	size := 0
	for offset := from; offset < end && len(batch.Entries) < limit; offset++ {
		data := stream.records[offset]
		size += len(data)
		if size > maxResponseBytes && len(batch.Entries) > 0 {
			break
		}
		batch.Entries = append(batch.Entries, logservice.Entry{Offset: offset, Data: data})
	}
	return batch, stream.appended
}
