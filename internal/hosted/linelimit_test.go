package hosted

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestLineLimitPerKind(t *testing.T) {
	suppressed := 0
	limit := newLineLimit(func() { suppressed++ })
	now := time.Unix(1000, 0)
	write := func(kind lineKind, lines int) (written int) {
		for range lines {
			if limit.allow(kind, now) {
				written++
			}
		}
		return written
	}
	common, failure := lineKind{message: "request ended"}, lineKind{message: "request ended", failure: true}
	const many = 10_000
	assert.Equal(t, write(common, many), burstSeconds*linesPerSecond)
	assert.Equal(t, write(failure, many), burstSeconds*failuresPerSecond, "failure lines were limited together with others")
	assert.Equal(t, write(lineKind{message: "leader changed"}, 1), 1)
	now = now.Add(time.Second)
	assert.Equal(t, write(common, many), linesPerSecond)
	wanted := 3*many - 2*burstSeconds*linesPerSecond/2 - linesPerSecond - burstSeconds*failuresPerSecond
	assert.DeepEqual(t, limit.drainSuppressed(), map[string]int{"request ended": wanted})
	assert.Equal(t, len(limit.drainSuppressed()), 0)
}

func TestLineLimitSuppressesLines(t *testing.T) {
	var text bytes.Buffer
	suppressed := 0
	logger := zerolog.New(&text).Hook(newLineLimit(func() { suppressed++ }))
	const lines = 3 * burstSeconds * linesPerSecond
	for range lines {
		logger.Info().Msg("line")
	}
	written := bytes.Count(text.Bytes(), []byte("\n"))
	assert.Equal(t, written+suppressed, lines)
	assert.Assert(t, suppressed > 0)
	logger.Warn().Msg("line")
	assert.Equal(t, bytes.Count(text.Bytes(), []byte("\n")), written+1)
}
