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

// keysExcluding returns the keys that a reader receives if it excludes some classes.
func keysExcluding(t *testing.T, replica *Replica, from int64, excluded ...string) map[string]bool {
	t.Helper()
	batch, _, err := replica.Read(t.Context(), from, 0, excluded)
	assert.NilError(t, err)
	keys := make(map[string]bool)
	for _, record := range batch.Records {
		keys[record.Key] = true
	}
	return keys
}

func TestReplicaOmitsExcludedClasses(t *testing.T) {
	replica := newReplica()
	replica.put(record("desk", "1", 0), "desk")
	replica.put(record("model", "1", 1), "models")
	replica.put(record("unreadable", "1", 2), "")
	replica.advance(3, boottime.Now())
	assert.DeepEqual(t, keysExcluding(t, replica, 0, "models"), map[string]bool{"desk": true, "unreadable": true})
	assert.Equal(t, len(keysExcluding(t, replica, 0)), 3)
	newest, _, _ := replica.Newest([]string{"models", "desk"})
	assert.Equal(t, len(newest.Records), 1)
}

// TestDeletionHasTheClassOfTheDeletedRecord guards against deletions, which carry no class, that are sent to the
// wrong readers.
func TestDeletionHasTheClassOfTheDeletedRecord(t *testing.T) {
	replica := newReplica()
	replica.put(record("desk", "1", 0), "desk")
	replica.put(record("model", "1", 1), "models")
	replica.put(record("desk", "", 2), "")
	replica.put(record("model", "", 3), "")
	replica.advance(4, boottime.Now())
	assert.DeepEqual(t, keysExcluding(t, replica, 2, "models"), map[string]bool{"desk": true})
}

// TestKeyThatChangesItsClassIsIncludedForAll guards against a reader that keeps the old record of a key whose new
// class it excludes.
func TestKeyThatChangesItsClassIsIncludedForAll(t *testing.T) {
	replica := newReplica()
	replica.put(record("moved", "1", 0), "desk")
	replica.put(record("moved", "2", 1), "models")
	replica.advance(2, boottime.Now())
	assert.DeepEqual(t, keysExcluding(t, replica, 1, "models"), map[string]bool{"moved": true})
}

// TestReloadPassesHandledRecordsAgain guards against records that the handler ignored before and needs now.
func TestReloadPassesHandledRecordsAgain(t *testing.T) {
	log := memlog.New()
	log.Put(topic, "a", []byte("1"))
	handled := 0
	follower := New(log, topic, func(eventlog.KeyedRecord) { handled++ }, pacing.Budget{}, zerolog.Nop())
	assert.NilError(t, follower.readOnce(t.Context()))
	assert.NilError(t, follower.readOnce(t.Context()))
	assert.Equal(t, handled, 1)
	reloaded := follower.Reload()
	log.SetFault(func(memlog.Call) memlog.Fault { return memlog.Refused })
	assert.Assert(t, follower.readOnce(t.Context()) != nil)
	log.SetFault(nil)
	assert.NilError(t, follower.readOnce(t.Context()))
	<-reloaded
	assert.Equal(t, handled, 2)
}
