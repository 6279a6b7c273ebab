package leadership

import (
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/lease"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), message)
}

// TestUnknownRecordKindIsIgnored guards against a newer version's record ending the lease, and against a warning for
// each such record.
func TestUnknownRecordKindIsIgnored(t *testing.T) {
	log := memlog.New()
	leader := join(t, log, "a", "a1")
	testwait.Until(t, "a leads", leader.leads)
	epoch := leader.lastTerm().Epoch
	logged := &logBuffer{}
	reader := New(log, Options{Holder: "b1", Node: "b", TTL: testTTL, Logger: zerolog.New(logged)}, leader.role)
	const newKind = lease.Order + 1
	raw, err := msgpack.Marshal(&lease.Record{Kind: newKind, Holder: "a1", Node: "a", Epoch: epoch})
	assert.NilError(t, err)
	for range 3 {
		_, err := log.Append(t.Context(), eventlog.Partition{Topic: topic}, [][]byte{raw})
		assert.NilError(t, err)
	}
	end := log.End(eventlog.Partition{Topic: topic})
	for reader.next() < end {
		assert.NilError(t, reader.read(t.Context(), 0))
	}
	holder, newest := reader.Leader()
	assert.Equal(t, holder, "a1")
	assert.Equal(t, newest, epoch)
	assert.Equal(t, logged.count("records of unknown kind skipped"), 1)
}
