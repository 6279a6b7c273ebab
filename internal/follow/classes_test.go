package follow

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// keysFor returns the keys that a reader gets which leaves out some classes.
func keysFor(t *testing.T, replica *Replica, from int64, leftOut ...string) map[string]bool {
	t.Helper()
	batch, _, err := replica.Read(t.Context(), from, 0, leftOut)
	assert.NilError(t, err)
	keys := make(map[string]bool)
	for _, record := range batch.Records {
		keys[record.Key] = true
	}
	return keys
}

func TestReadersGetTheClassesThatTheyAskFor(t *testing.T) {
	replica := newReplica()
	replica.take(record("desk", "1", 0), "desk")
	replica.take(record("model", "1", 1), "models")
	replica.take(record("unreadable", "1", 2), "")
	replica.reached(3, boottime.Now())
	assert.DeepEqual(t, keysFor(t, replica, 0, "models"), map[string]bool{"desk": true, "unreadable": true})
	assert.Equal(t, len(keysFor(t, replica, 0)), 3)
	newest, _, _ := replica.Newest([]string{"models", "desk"})
	assert.Equal(t, len(newest.Records), 1)
}

// TestADeletionIsForThoseWhoHaveTheRecord: the deletion itself tells no class.
func TestADeletionIsForThoseWhoHaveTheRecord(t *testing.T) {
	replica := newReplica()
	replica.take(record("desk", "1", 0), "desk")
	replica.take(record("model", "1", 1), "models")
	replica.take(record("desk", "", 2), "")
	replica.take(record("model", "", 3), "")
	replica.reached(4, boottime.Now())
	assert.DeepEqual(t, keysFor(t, replica, 2, "models"), map[string]bool{"desk": true})
}

// TestAKeyThatChangesItsClassIsForAll: whoever left out the new one has the old record.
func TestAKeyThatChangesItsClassIsForAll(t *testing.T) {
	replica := newReplica()
	replica.take(record("moved", "1", 0), "desk")
	replica.take(record("moved", "2", 1), "models")
	replica.reached(2, boottime.Now())
	assert.DeepEqual(t, keysFor(t, replica, 1, "models"), map[string]bool{"moved": true})
}

// TestAReloadHandsOnWhatWasHandledBefore: the handler may have left it out then.
func TestAReloadHandsOnWhatWasHandledBefore(t *testing.T) {
	log := memlog.New()
	log.Put(topic, "a", []byte("1"))
	handled := 0
	follower := New(log, topic, func(eventlog.KeyedRecord) { handled++ }, pacing.Budget{}, zerolog.Nop())
	assert.NilError(t, follower.step(t.Context()))
	assert.NilError(t, follower.step(t.Context()))
	assert.Equal(t, handled, 1)
	reloaded := follower.Reload()
	log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	assert.Assert(t, follower.step(t.Context()) != nil)
	log.SetFault(nil)
	assert.NilError(t, follower.step(t.Context()))
	<-reloaded
	assert.Equal(t, handled, 2)
}
