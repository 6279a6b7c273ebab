package follow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/eventlog"
)

func record(key, value string, offset int64) eventlog.KeyedRecord {
	return eventlog.KeyedRecord{Key: key, Value: []byte(value), Deleted: value == "", Offset: offset}
}

func TestReplicaReturnsRecordsFromOffset(t *testing.T) {
	replica := newReplica()
	_, _, known := replica.Newest(nil)
	assert.Assert(t, !known)
	for offset, value := range []string{"a", "b", "c"} {
		replica.put(record(value, value, int64(offset)), "")
	}
	replica.put(record("a", "", 3), "")
	replica.advance(4, boottime.Now())
	batch, _, err := replica.Read(t.Context(), 1, 0, nil)
	assert.NilError(t, err)
	assert.Equal(t, batch.Next, int64(4))
	assert.Equal(t, len(batch.Records), 3)
	assert.Equal(t, batch.Records[0].Key, "b")
	assert.Assert(t, batch.Records[2].Deleted)
	newest, _, known := replica.Newest(nil)
	assert.Assert(t, known)
	assert.Equal(t, len(newest.Records), 2)
}

// TestReaderAheadOfReplicaKeepsItsOffset covers a reader that comes from a more recent replica.
func TestReaderAheadOfReplicaKeepsItsOffset(t *testing.T) {
	replica := newReplica()
	replica.put(record("a", "1", 0), "")
	replica.advance(1, boottime.Now())
	batch, _, err := replica.Read(t.Context(), 7, time.Millisecond, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 0)
	assert.Equal(t, batch.Next, int64(7))
}

func TestWaitingReadReturnsOnChange(t *testing.T) {
	replica := newReplica()
	replica.advance(1, boottime.Now())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	go func() {
		replica.put(record("a", "1", 1), "")
		replica.advance(2, boottime.Now())
	}()
	batch, _, err := replica.Read(ctx, 1, time.Minute, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 1)
}

func TestAgeGrowsWithoutReads(t *testing.T) {
	replica := newReplica()
	replica.advance(1, boottime.Now().Add(-time.Hour))
	_, age, _ := replica.Newest(nil)
	assert.Assert(t, age >= time.Hour)
	replica.advance(1, boottime.Now())
	_, age, _ = replica.Newest(nil)
	assert.Assert(t, age < time.Hour)
}

// TestReaderThatMayHaveMissedADeletionGetsTrimmedError guards against a reader that keeps a deleted key, since
// replicas drop old deletions.
func TestReaderThatMayHaveMissedADeletionGetsTrimmedError(t *testing.T) {
	replica := newReplica()
	offset := int64(0)
	for number := range maxDeletions + 1 {
		replica.put(record(fmt.Sprint("k", number), "", offset), "")
		offset++
	}
	replica.advance(offset, boottime.Now())
	var trimmed *eventlog.TrimmedError
	_, _, err := replica.Read(t.Context(), 5, 0, nil)
	assert.Assert(t, errors.As(err, &trimmed), "%v", err)
	_, _, err = replica.Read(t.Context(), offset, 0, nil)
	assert.NilError(t, err)
}
