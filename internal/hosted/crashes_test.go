package hosted

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/eventlog"
	"github.com/corkpulley/corkpulley/internal/follow"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
)

// TestFirstReadWaitCoversOneMoreAttempt guards against waits for a first read that end during a delay between its attempts,
// and against nodes that serve nothing for longer than needed while the log refuses a topic.
func TestFirstReadWaitCoversOneMoreAttempt(t *testing.T) {
	for nodes, longest := range map[int]time.Duration{1: 3 * time.Second, 100: 3 * time.Second, 2000: 6 * time.Second} {
		budget := pacing.Budget{Limits: pacing.Limits{ReadsPerSecond: 16_000}, Nodes: func() int { return nodes }}
		follower := follow.New(memlog.New(), "topic", func(eventlog.KeyedRecord) {}, budget, zerolog.Nop())
		wait := firstReadWait(follower)
		assert.Assert(t, wait >= follower.MaxFirstReadDelay()+fullReadTime, "%d nodes: %s", nodes, wait)
		assert.Assert(t, wait <= longest, "%d nodes: %s", nodes, wait)
	}
}
