package platform

import (
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/eventlog"
)

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	partition, err := partitionOf(query)
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || errFrom != nil {
		http.Error(w, "topic, part and from are wanted", http.StatusBadRequest)
		return
	}
	limitKB := 1024
	if text := query.Get("max_kb"); text != "" {
		limitKB, _ = strconv.Atoi(text)
	}
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	batch, err := s.Log.Read(r.Context(), partition, from, limitKB<<10, time.Duration(waitMs)*time.Millisecond)
	var trimmed *eventlog.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		writeJSON(w, http.StatusGone, map[string]int64{"first": trimmed.First})
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	encoded := binary.BigEndian.AppendUint64(nil, uint64(batch.End))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(s.Log.First(partition)))
	for _, record := range batch.Records {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(record)))
		encoded = append(encoded, record...)
	}
	_, _ = w.Write(encoded)
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
	writeJSON(w, http.StatusOK, page)
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
