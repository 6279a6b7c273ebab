package platform

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

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
	if !s.queueAppend(partition) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(w, r.URL.Query(), partition, records)
}

// queueAppend waits for the appends queued before this one and for the duration of this one. It returns false at
// once if the queueing time would exceed Limits.MaxQueue.
func (s *Store) queueAppend(partition eventlog.Partition) bool {
	s.mu.Lock()
	now := time.Now()
	start := s.busyUntil[partition]
	if start.Before(now) {
		start = now
	}
	wait := start.Sub(now)
	if wait > s.limits.MaxQueue {
		s.mu.Unlock()
		return false
	}
	s.busyUntil[partition] = start.Add(s.limits.AppendTime)
	s.mu.Unlock()
	time.Sleep(wait + s.limits.AppendTime)
	return true
}

func (s *Store) appendLocked(w http.ResponseWriter, query url.Values, partition eventlog.Partition, records [][]byte) {
	sender, original, status, reason := s.checkProducer(query, partition)
	if status != 0 {
		writeJSON(w, status, reason)
		return
	}
	if original != nil {
		writeJSON(w, http.StatusOK, original)
		return
	}
	size := 0
	for _, record := range records {
		size += len(record)
	}
	if s.usedBytes+size > s.limits.TotalBytes {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	first, err := s.appendTo(query, partition, records)
	var conflict *eventlog.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": conflict.End})
		return
	case errors.Is(err, eventlog.ErrOutcomeUnknown):
		abortConnection()
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.usedBytes += size
	result := appendResult{Offset: first, End: first + int64(len(records))}
	if sender != nil && len(records) > 0 {
		sender.recordResult(result)
	}
	writeJSON(w, http.StatusOK, result)
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
	Reason           string `json:"why"`
	ExpectedSequence int64  `json:"seqNo,omitempty"`
	Epoch            int64  `json:"epoch,omitempty"`
}

// checkProducer checks a producer's epoch and sequence number. It returns the original result
// of a repeated call, or the status of a refused one.
func (s *Store) checkProducer(query url.Values, partition eventlog.Partition) (*producer, *appendResult, int, *refusal) {
	name := query.Get("producer")
	if name == "" {
		return nil, nil, 0, nil
	}
	epoch, errEpoch := strconv.ParseInt(query.Get("epoch"), 10, 64)
	sequence, errSequence := strconv.ParseInt(query.Get("seqNo"), 10, 64)
	if errEpoch != nil || errSequence != nil {
		return nil, nil, http.StatusBadRequest, &refusal{Reason: "epoch and seqNo are wanted"}
	}
	key := producerKey{partition, name}
	known, found := s.producers[key]
	switch {
	case !found || epoch > known.epoch:
		known = &producer{epoch: epoch, sequence: sequence - 1, results: make(map[int64]appendResult)}
		s.producers[key] = known
	case epoch < known.epoch:
		return nil, nil, http.StatusConflict, &refusal{Reason: "fenced", Epoch: known.epoch}
	}
	if result, repeated := known.results[sequence]; repeated {
		return known, &result, 0, nil
	}
	if sequence != known.sequence+1 {
		return nil, nil, http.StatusConflict, &refusal{Reason: "seq", ExpectedSequence: known.sequence + 1}
	}
	return known, nil, 0, nil
}

// recordResult stores the result of the producer's newest call.
func (p *producer) recordResult(result appendResult) {
	p.sequence++
	p.results[p.sequence] = result
	delete(p.results, p.sequence-retainedResults)
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
