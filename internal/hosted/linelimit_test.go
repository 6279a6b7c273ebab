package hosted

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestEachKindOfLineIsBounded(t *testing.T) {
	leftOut := 0
	limit := newLineLimit(func() { leftOut++ })
	now := time.Unix(1000, 0)
	write := func(kind lineKind, lines int) (written int) {
		for range lines {
			if limit.take(kind, now) {
				written++
			}
		}
		return written
	}
	common, failure := lineKind{message: "request ended"}, lineKind{message: "request ended", failure: true}
	const many = 10_000
	assert.Equal(t, write(common, many), burstSeconds*linesPerSecond)
	assert.Equal(t, write(failure, many), burstSeconds*failuresPerSecond, "failures were left out for the sake of others")
	assert.Equal(t, write(lineKind{message: "leader changed"}, 1), 1)
	now = now.Add(time.Second)
	assert.Equal(t, write(common, many), linesPerSecond)
	wanted := 3*many - 2*burstSeconds*linesPerSecond/2 - linesPerSecond - burstSeconds*failuresPerSecond
	assert.DeepEqual(t, limit.drain(), map[string]int{"request ended": wanted})
	assert.Equal(t, len(limit.drain()), 0)
}

func TestLinesBeyondTheBoundAreNotWritten(t *testing.T) {
	var text bytes.Buffer
	leftOut := 0
	logger := zerolog.New(&text).Hook(newLineLimit(func() { leftOut++ }))
	const lines = 3 * burstSeconds * linesPerSecond
	for range lines {
		logger.Info().Msg("line")
	}
	written := bytes.Count(text.Bytes(), []byte("\n"))
	assert.Equal(t, written+leftOut, lines)
	assert.Assert(t, leftOut > 0)
	logger.Warn().Msg("line")
	assert.Equal(t, bytes.Count(text.Bytes(), []byte("\n")), written+1)
}
