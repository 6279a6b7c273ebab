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

// stalledReader takes no line until it is released.
type stalledReader struct{ release chan struct{} }

func (s *stalledReader) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

// TestLogNeverBlocksItsWriters stalls the reader of the log: lines are written
// on, and those left out are counted.
func TestLogNeverBlocksItsWriters(t *testing.T) {
	reader := &stalledReader{release: make(chan struct{})}
	output := newLogOutput(reader)
	var dropped atomic.Int64
	output.onDropped(func(missed int) { dropped.Add(int64(missed)) })
	logger := newLogger(settings.Default(), output)
	const lines = 5 * logBuffer
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
		t.Fatal("a writer was blocked")
	}
	close(reader.release)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if dropped.Load() >= lines-2*logBuffer {
			return poll.Success()
		}
		return poll.Continue("%d counted", dropped.Load())
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, output.dropped.Load(), dropped.Load())
	assert.NilError(t, output.Close())
}

var _ io.Writer = (*stalledReader)(nil)
