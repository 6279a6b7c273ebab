package logusage

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestCallsAreReportedByTopicAndOutcome guards against reports with the wrong topic, operation, outcome or size.
func TestCallsAreReportedByTopicAndOutcome(t *testing.T) {
	backend := memlog.New()
	var calls []Call
	log := New(backend, func(call Call) { calls = append(calls, call) })
	partition := eventlog.Partition{Topic: "t"}
	_, err := log.Append(t.Context(), partition, [][]byte{[]byte("four")})
	assert.NilError(t, err)
	_, err = log.AppendAt(t.Context(), partition, 7, [][]byte{[]byte("four")})
	assert.ErrorContains(t, err, "ends at")
	_, err = log.Read(t.Context(), partition, 0, 1024, 0)
	assert.NilError(t, err)
	assert.NilError(t, log.PutKeyed(t.Context(), "keyed.t", []eventlog.KeyedRecord{{Key: "k", Value: []byte("v")}}))
	_, err = log.Newest(t.Context(), "keyed.t")
	assert.NilError(t, err)
	_, err = log.ReadKeyed(t.Context(), "keyed.t", 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, calls, []Call{
		{"t", OperationAppend, Answered, 4},
		{"t", OperationAppend, Answered, 0},
		{"t", OperationRead, Answered, 4},
		{"keyed.t", OperationAppend, Answered, 2},
		{"keyed.t", OperationNewest, Answered, 2},
		{"keyed.t", OperationRead, Answered, 2},
	})
}

// unresponsiveLog does not answer reads.
type unresponsiveLog struct{ *memlog.Log }

func (unresponsiveLog) Read(
	ctx context.Context, _ eventlog.Partition, _ int64, _ int, _ time.Duration,
) (eventlog.Batch, error) {
	<-ctx.Done()
	return eventlog.Batch{}, ctx.Err()
}

// TestOutcomesOfFailedCallsDiffer guards against confusing refused, unanswered and canceled calls.
func TestOutcomesOfFailedCallsDiffer(t *testing.T) {
	partition := eventlog.Partition{Topic: "t"}
	var calls []Call
	record := func(call Call) { calls = append(calls, call) }
	refusing := memlog.New()
	refusing.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	_, _ = New(refusing, record).Read(t.Context(), partition, 0, 1024, 0)
	unresponsive := New(unresponsiveLog{memlog.New()}, record)
	expiring, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, _ = unresponsive.Read(expiring, partition, 0, 1024, 0)
	canceled, cancelNow := context.WithCancel(t.Context())
	cancelNow()
	_, _ = unresponsive.Read(canceled, partition, 0, 1024, 0)
	assert.Equal(t, len(calls), 3)
	assert.Equal(t, calls[0].Outcome, Refused)
	assert.Equal(t, calls[1].Outcome, Unanswered)
	assert.Equal(t, calls[2].Outcome, Abandoned)
}

// TestSummaryIsLoggedOnlyAfterFailures guards against an overload of the log that no log line attributes to a
// topic, and against lines without failures.
func TestSummaryIsLoggedOnlyAfterFailures(t *testing.T) {
	var output bytes.Buffer
	summary := NewSummary(zerolog.New(&output))
	summary.Add(Call{Topic: "calm", Operation: OperationRead, Outcome: Answered, Bytes: 10}, false)
	summary.logAndReset()
	assert.Equal(t, output.Len(), 0)
	summary.Add(Call{Topic: "calm", Operation: OperationRead, Outcome: Answered, Bytes: 10}, false)
	summary.Add(Call{Topic: "busy", Operation: OperationRead, Outcome: Unanswered}, true)
	summary.Add(Call{Topic: "busy", Operation: OperationRead, Outcome: Refused}, false)
	summary.logAndReset()
	var line struct {
		Topics map[string]map[string]int `json:"topics"`
	}
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	assert.DeepEqual(t, line.Topics, map[string]map[string]int{
		"calm": {"calls": 1, "refused": 0, "unanswered": 0, "relayed": 0, "bytes": 10},
		"busy": {"calls": 2, "refused": 1, "unanswered": 1, "relayed": 1, "bytes": 0},
	})
	output.Reset()
	summary.logAndReset()
	assert.Equal(t, output.Len(), 0, "counts cover one period")
}
