package follow

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// staleReadLog returns an old full read, as a replica does that lost the log for a while.
type staleReadLog struct {
	*memlog.Log
	stale *eventlog.KeyedBatch
}

func (l *staleReadLog) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	if l.stale != nil {
		return *l.stale, nil
	}
	return l.Log.Newest(ctx, topic)
}

// TestFullReadOfStaleReplicaRestoresNoDeletedKey guards against a deleted key that reappears permanently, since its
// deletion is not read again.
func TestFullReadOfStaleReplicaRestoresNoDeletedKey(t *testing.T) {
	log := &staleReadLog{Log: memlog.New()}
	v := &view{values: map[string]string{}, last: map[string]int64{}, t: t}
	follower := New(log, topic, v.handle, pacing.Budget{}, zerolog.Nop())
	log.Put(topic, "kept", []byte("1"))
	log.Put(topic, "deleted", []byte("1"))
	assert.NilError(t, follower.readOnce(t.Context()))
	stale, err := log.Newest(t.Context(), topic)
	assert.NilError(t, err)
	log.Put(topic, "deleted", nil)
	log.Put(topic, "kept", []byte("2"))
	assert.NilError(t, follower.readOnce(t.Context()))
	assert.Assert(t, v.has("deleted", "") && v.has("kept", "2"))
	log.stale = &stale
	follower.fullReads.force()
	assert.NilError(t, follower.readOnce(t.Context()))
	assert.Assert(t, v.has("deleted", ""), "a deleted key was restored")
	assert.Assert(t, v.has("kept", "2"))
}

// TestFirstReadAfterSuspensionDoesNotWait guards against stale data that stay in use while a read waits for
// changes.
func TestFirstReadAfterSuspensionDoesNotWait(t *testing.T) {
	log := &waitRecordingLog{Log: memlog.New()}
	follower := New(log, topic, func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
	assert.NilError(t, follower.readOnce(t.Context()))
	follower.replica.advance(0, follower.replica.upToDateAt.Add(-StaleAge))
	log.longest = 0
	assert.Equal(t, follower.readDelay().String(), "0s")
	assert.NilError(t, follower.readOnce(t.Context()))
	assert.Equal(t, log.longest.String(), "0s")
	assert.Assert(t, follower.Age() < StaleAge)
	assert.Equal(t, follower.readDelay(), readGap)
}
