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

// Limits of a store.
type Limits struct {
	// RecordBytes and CallBytes bound a record and a call.
	RecordBytes int
	CallBytes   int
	// TotalBytes is what all partitions together may hold.
	TotalBytes int
	// AppendTime is how long a partition takes for an append; appends take turns.
	AppendTime time.Duration
	// MaxQueue is how long an append may wait for its turn before it is refused.
	MaxQueue time.Duration
	// PageRecords bounds a page of the newest records.
	PageRecords int
	// MinMemberTTL is the least time for which a member of a group may ask.
	MinMemberTTL time.Duration
}

// DefaultLimits are those of the users' pages.
func DefaultLimits() Limits {
	return Limits{
		RecordBytes: 256 << 10, CallBytes: 2 << 20, TotalBytes: 400 << 20,
		AppendTime: 2 * time.Millisecond, MaxQueue: 2 * time.Second,
		PageRecords: 500, MinMemberTTL: time.Second,
	}
}

// Store is the store. It is an http.Handler.
type Store struct {
	Log    *memlog.Log
	limits Limits
	router *mux.Router

	mu sync.Mutex
	// refuse, when set, decides for each call whether it gets this status.
	refuse func(r *http.Request) int
	// delay is the time before each answer.
	delay     time.Duration
	used      int
	busyUntil map[eventlog.Partition]time.Time
	producers map[producerKey]*producer
	groups    map[string]*group
}

type producerKey struct {
	partition eventlog.Partition
	name      string
}

// answersKept is how many of a producer's last answers are given again.
const answersKept = 5

// producer is what a partition knows of one writer.
type producer struct {
	epoch    int64
	sequence int64
	answers  map[int64]appended
}

type appended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	s := &Store{
		Log: memlog.New(), limits: limits, router: mux.NewRouter(),
		busyUntil: make(map[eventlog.Partition]time.Time),
		producers: make(map[producerKey]*producer),
		groups:    make(map[string]*group),
	}
	for path, handle := range map[string]http.HandlerFunc{
		"POST /log-append": s.append, "GET /log-read": s.read, "GET /log-newest": s.newest,
		"POST /log-trim": s.trim, "POST /log-join": s.join, "POST /log-leave": s.leave,
		"POST /log-commit": s.commit, "GET /log-owners": s.owners,
	} {
		method, target, _ := cutMethod(path)
		s.router.HandleFunc(target, handle).Methods(method)
	}
	return s
}

func cutMethod(path string) (method, target string, found bool) {
	for i := range path {
		if path[i] == ' ' {
			return path[:i], path[i+1:], true
		}
	}
	return "", path, false
}

// Refuse sets what decides whether a call is refused, and with which status.
func (s *Store) Refuse(refuse func(r *http.Request) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// Slow sets the time before each answer.
func (s *Store) Slow(delay time.Duration) {
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

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// loseAnswer ends the connection without an answer.
func loseAnswer() { panic(http.ErrAbortHandler) }
