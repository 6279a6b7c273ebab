package hosted

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/settings"
)

// stalledWriter blocks each write until it is released.
type stalledWriter struct{ release chan struct{} }

func (s *stalledWriter) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

// Guards against a slow log reader that blocks the node, and against dropped lines that are not counted.
func TestLogOutputNeverBlocks(t *testing.T) {
	reader := &stalledWriter{release: make(chan struct{})}
	output := newLogOutput(reader)
	var dropped atomic.Int64
	output.onDropped(func(missed int) { dropped.Add(int64(missed)) })
	logger := newLogger(settings.Default(), output)
	const lines = 5 * logBufferLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			logger.Info().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("a log call was blocked by the reader")
	}
	close(reader.release)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if dropped.Load() >= lines-2*logBufferLines {
			return poll.Success()
		}
		return poll.Continue("%d dropped lines counted", dropped.Load())
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, output.dropped.Load(), dropped.Load())
	assert.NilError(t, output.Close())
}

var _ io.Writer = (*stalledWriter)(nil)
