package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// Limits holds the size and time limits of a store.
type Limits struct {
	// RecordBytes and CallBytes are the maximum sizes of a record and of an append call.
	RecordBytes int
	CallBytes   int
	// TotalBytes is the maximum size of all partitions together.
	TotalBytes int
	// AppendTime is the duration of an append. Appends to a partition are serialized.
	AppendTime time.Duration
	// MaxQueue is the maximum queueing time of an append; one that would wait longer is refused.
	MaxQueue time.Duration
	// PageRecords is the maximum number of records in a page of the newest records.
	PageRecords int
	// MinMemberTTL is the shortest TTL that a group member may request.
	MinMemberTTL time.Duration
}

// DefaultLimits returns the limits that the users' platform documents.
func DefaultLimits() Limits {
	return Limits{
		RecordBytes: 256 << 10, CallBytes: 2 << 20, TotalBytes: 400 << 20,
		AppendTime: 2 * time.Millisecond, MaxQueue: 2 * time.Second,
		PageRecords: 500, MinMemberTTL: time.Second,
	}
}

// Store simulates the platform's log store. It is an http.Handler.
type Store struct {
	Log    *memlog.Log
	limits Limits
	router *mux.Router

	mu sync.Mutex
	// refuse, if set, returns the status with which a call is refused, or zero to serve it.
	refuse func(r *http.Request) int
	// delay is the time before each response.
	delay     time.Duration
	usedBytes int
	busyUntil map[eventlog.Partition]time.Time
	producers map[producerKey]*producer
	groups    map[string]*group
}

type producerKey struct {
	partition eventlog.Partition
	name      string
}

// retainedResults is the number of a producer's latest results that are kept for retries.
const retainedResults = 5

// producer is a partition's deduplication state for one writer.
type producer struct {
	epoch    int64
	sequence int64
	results  map[int64]appendResult
}

type appendResult struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func NewStore(limits Limits) *Store {
	s := &Store{
		Log: memlog.New(), limits: limits, router: mux.NewRouter(),
		busyUntil: make(map[eventlog.Partition]time.Time),
		producers: make(map[producerKey]*producer),
		groups:    make(map[string]*group),
	}
	for pattern, handle := range map[string]http.HandlerFunc{
		"POST /log-append": s.append, "GET /log-read": s.read, "GET /log-newest": s.newest,
		"POST /log-trim": s.trim, "POST /log-join": s.join, "POST /log-leave": s.leave,
		"POST /log-commit": s.commit, "GET /log-owners": s.owners,
	} {
		method, target, _ := splitPattern(pattern)
		s.router.HandleFunc(target, handle).Methods(method)
	}
	return s
}

func splitPattern(pattern string) (method, target string, found bool) {
	for i := range pattern {
		if pattern[i] == ' ' {
			return pattern[:i], pattern[i+1:], true
		}
	}
	return "", pattern, false
}

// SetRefusal sets the function that returns the status with which a call is refused, or zero to serve it.
func (s *Store) SetRefusal(refuse func(r *http.Request) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// SetDelay sets the time before each response.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	refuse, delay := s.refuse, s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if refuse != nil {
		if status := refuse(r); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	s.router.ServeHTTP(w, r)
}

func partitionOf(query url.Values) (eventlog.Partition, error) {
	number, err := strconv.Atoi(query.Get("part"))
	if err != nil || number < 0 || query.Get("topic") == "" {
		return eventlog.Partition{}, errors.New("topic and part are wanted")
	}
	return eventlog.Partition{Topic: query.Get("topic"), Number: number}, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// abortConnection closes the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }
