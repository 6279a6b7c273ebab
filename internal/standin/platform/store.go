package platform

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
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

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	partition, err := partitionOf(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, err := s.readRecords(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if partition.Topic == topicEngines {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if !s.takeTurn(partition) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(w, r.URL.Query(), partition, records)
}

// takeTurn waits for the partition; false when too much waits already.
func (s *Store) takeTurn(partition eventlog.Partition) bool {
	s.mu.Lock()
	now := time.Now()
	turn := s.busyUntil[partition]
	if turn.Before(now) {
		turn = now
	}
	wait := turn.Sub(now)
	if wait > s.limits.MaxQueue {
		s.mu.Unlock()
		return false
	}
	s.busyUntil[partition] = turn.Add(s.limits.AppendTime)
	s.mu.Unlock()
	time.Sleep(wait + s.limits.AppendTime)
	return true
}

func (s *Store) appendLocked(w http.ResponseWriter, query url.Values, partition eventlog.Partition, records [][]byte) {
	writer, known, status, why := s.checkProducer(query, partition)
	if status != 0 {
		answerJSON(w, status, why)
		return
	}
	if known != nil {
		answerJSON(w, http.StatusOK, known)
		return
	}
	size := 0
	for _, record := range records {
		size += len(record)
	}
	if s.used+size > s.limits.TotalBytes {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	first, err := s.appendTo(query, partition, records)
	var conflict *eventlog.ConflictError
	switch {
	case errors.As(err, &conflict):
		answerJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": conflict.End})
		return
	case errors.Is(err, eventlog.ErrOutcomeUnknown):
		loseAnswer()
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.used += size
	answer := appended{Offset: first, End: first + int64(len(records))}
	if writer != nil && len(records) > 0 {
		writer.remember(answer)
	}
	answerJSON(w, http.StatusOK, answer)
}

func (s *Store) appendTo(query url.Values, partition eventlog.Partition, records [][]byte) (int64, error) {
	if query.Get("at") == "" {
		return s.Log.Append(context.Background(), partition, records)
	}
	at, err := strconv.ParseInt(query.Get("at"), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "at")
	}
	return s.Log.AppendAt(context.Background(), partition, at, records)
}

type refusal struct {
	Why    string `json:"why"`
	Wanted int64  `json:"seqNo,omitempty"`
	Epoch  int64  `json:"epoch,omitempty"`
}

// checkProducer applies epoch and sequence of a producer. It returns the first
// answer of a call that is repeated, or the status of one that is refused.
func (s *Store) checkProducer(query url.Values, partition eventlog.Partition) (*producer, *appended, int, *refusal) {
	name := query.Get("producer")
	if name == "" {
		return nil, nil, 0, nil
	}
	epoch, errEpoch := strconv.ParseInt(query.Get("epoch"), 10, 64)
	sequence, errSequence := strconv.ParseInt(query.Get("seqNo"), 10, 64)
	if errEpoch != nil || errSequence != nil {
		return nil, nil, http.StatusBadRequest, &refusal{Why: "epoch and seqNo are wanted"}
	}
	key := producerKey{partition, name}
	known, found := s.producers[key]
	switch {
	case !found || epoch > known.epoch:
		known = &producer{epoch: epoch, sequence: sequence - 1, answers: make(map[int64]appended)}
		s.producers[key] = known
	case epoch < known.epoch:
		return nil, nil, http.StatusConflict, &refusal{Why: "fenced", Epoch: known.epoch}
	}
	if answer, repeated := known.answers[sequence]; repeated {
		return known, &answer, 0, nil
	}
	if sequence != known.sequence+1 {
		return nil, nil, http.StatusConflict, &refusal{Why: "seq", Wanted: known.sequence + 1}
	}
	return known, nil, 0, nil
}

// remember keeps the answer of the producer's newest call.
func (p *producer) remember(answer appended) {
	p.sequence++
	p.answers[p.sequence] = answer
	delete(p.answers, p.sequence-answersKept)
}

func (s *Store) readRecords(body io.Reader) ([][]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, int64(s.limits.CallBytes)+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the call")
	}
	if len(raw) > s.limits.CallBytes {
		return nil, errors.Errorf("a call of more than %d bytes", s.limits.CallBytes)
	}
	var records [][]byte
	for len(raw) > 0 {
		if len(raw) < 4 {
			return nil, errors.New("a length is cut off")
		}
		length := int(binary.BigEndian.Uint32(raw))
		raw = raw[4:]
		if length > len(raw) || length > s.limits.RecordBytes {
			return nil, errors.Errorf("a record of %d bytes", length)
		}
		records = append(records, raw[:length])
		raw = raw[length:]
	}
	return records, nil
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	partition, err := partitionOf(query)
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || errFrom != nil {
		http.Error(w, "topic, part and from are wanted", http.StatusBadRequest)
		return
	}
	limit := 1024
	if text := query.Get("max_kb"); text != "" {
		limit, _ = strconv.Atoi(text)
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	batch, err := s.Log.Read(r.Context(), partition, from, limit<<10, time.Duration(wait)*time.Millisecond)
	var gone *eventlog.GoneError
	switch {
	case errors.As(err, &gone):
		answerJSON(w, http.StatusGone, map[string]int64{"first": gone.First})
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := binary.BigEndian.AppendUint64(nil, uint64(batch.End))
	answer = binary.BigEndian.AppendUint64(answer, uint64(s.Log.First(partition)))
	for _, record := range batch.Records {
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(record)))
		answer = append(answer, record...)
	}
	_, _ = w.Write(answer)
}

type newestRecord struct {
	Key    string `json:"tlsKey"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	batch, err := s.Log.Newest(r.Context(), query.Get("topic"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after := query.Get("afterRev")
	start := sort.Search(len(batch.Records), func(i int) bool { return batch.Records[i].Key > after })
	if after == "" {
		start = 0
	}
	end := min(len(batch.Records), start+s.limits.PageRecords)
	page := struct {
		Records []newestRecord `json:"requests"`
		HasMore bool           `json:"hasMore"`
		End     int64          `json:"end"`
	}{Records: []newestRecord{}, HasMore: end < len(batch.Records), End: batch.Next}
	for _, record := range batch.Records[start:end] {
		page.Records = append(page.Records, newestRecord{
			Key: record.Key, Value: base64.StdEncoding.EncodeToString(record.Value), Offset: record.Offset,
		})
	}
	answerJSON(w, http.StatusOK, page)
}

func (s *Store) trim(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	partition, err := partitionOf(query)
	before, errBefore := strconv.ParseInt(query.Get("before"), 10, 64)
	if err != nil || errBefore != nil {
		http.Error(w, "topic, part and before are wanted", http.StatusBadRequest)
		return
	}
	s.Log.Trim(partition, before)
	w.WriteHeader(http.StatusOK)
}
