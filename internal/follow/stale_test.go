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

// behindLog answers whole reads as a replica does that has lost the log for a while.
type behindLog struct {
	*memlog.Log
	behind *eventlog.KeyedBatch
}

func (l *behindLog) Newest(ctx context.Context, topic string) (eventlog.KeyedBatch, error) {
	if l.behind != nil {
		return *l.behind, nil
	}
	return l.Log.Newest(ctx, topic)
}

// TestAWholeReadOfAReplicaThatIsBehindBringsNothingBack: the key was deleted since, as the follower has
// read already, and the deletion would not be read again.
func TestAWholeReadOfAReplicaThatIsBehindBringsNothingBack(t *testing.T) {
	log := &behindLog{Log: memlog.New()}
	v := &view{values: map[string]string{}, last: map[string]int64{}, t: t}
	follower := New(log, topic, v.handle, pacing.Budget{}, zerolog.Nop())
	log.Put(topic, "kept", []byte("1"))
	log.Put(topic, "deleted", []byte("1"))
	assert.NilError(t, follower.step(t.Context()))
	behind, err := log.Newest(t.Context(), topic)
	assert.NilError(t, err)
	log.Put(topic, "deleted", nil)
	log.Put(topic, "kept", []byte("2"))
	assert.NilError(t, follower.step(t.Context()))
	assert.Assert(t, v.is("deleted", "") && v.is("kept", "2"))
	log.behind = &behind
	follower.whole.force()
	assert.NilError(t, follower.step(t.Context()))
	assert.Assert(t, v.is("deleted", ""), "a key that was deleted is back")
	assert.Assert(t, v.is("kept", "2"))
}

// TestTheReadAfterAStandstillWaitsForNoChange: until it is answered nobody knows what changed meanwhile.
func TestTheReadAfterAStandstillWaitsForNoChange(t *testing.T) {
	log := &waitLog{Log: memlog.New()}
	follower := New(log, topic, func(eventlog.KeyedRecord) {}, pacing.Budget{}, zerolog.Nop())
	assert.NilError(t, follower.step(t.Context()))
	follower.replica.reached(0, follower.replica.contactAt.Add(-StaleAge))
	log.longest = 0
	assert.Equal(t, follower.gap().String(), "0s")
	assert.NilError(t, follower.step(t.Context()))
	assert.Equal(t, log.longest.String(), "0s")
	assert.Assert(t, follower.Age() < StaleAge)
	assert.Equal(t, follower.gap(), readGap)
}
