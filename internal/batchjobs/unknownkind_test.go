package batchjobs

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// Guards against an index record of a newer build that stops the reader or is logged repeatedly.
func TestIndexRecordsOfUnknownKindAreSkipped(t *testing.T) {
	var logs strings.Builder
	reader := newPartition(memlog.New(), 0, Options{Partitions: 1, Logger: zerolog.New(&logs)})
	unknown, err := msgpack.Marshal(map[string]any{"y": 1, "x": "later"})
	assert.NilError(t, err)
	known, err := msgpack.Marshal(map[string]any{"e": "j1", "x": "later"})
	assert.NilError(t, err)
	records := [][]byte{unknown, unknown, known}
	reader.apply(eventlog.Batch{Records: records, End: int64(len(records))}, boottime.Now())
	assert.Equal(t, reader.state.Next, int64(len(records)))
	assert.Equal(t, strings.Count(logs.String(), "records of unknown kind skipped"), 1)
	assert.Assert(t, strings.Contains(logs.String(), `"kind":"x,y"`), logs.String())
}
