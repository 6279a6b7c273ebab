package hosted

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
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

// A client's long texts must not fill the buffer of lines.
func TestLongLineIsShortened(t *testing.T) {
	long := strings.Repeat("\"ü", 10_000)
	var line bytes.Buffer
	logger := zerolog.New(&line)
	logger.Info().Str("id", long).Str("kind", "not_ready").Int("status", 503).Msg("request refused")
	shortened := shortenLine(line.Bytes())
	assert.Assert(t, len(shortened) <= maxLineBytes)
	var fields struct {
		ID, Kind, Message string
		Status            int
	}
	assert.NilError(t, json.Unmarshal(shortened, &fields))
	assert.Assert(t, strings.HasPrefix(fields.ID, "\"ü") && strings.HasSuffix(fields.ID, "(30000 bytes)"), "%s", fields.ID)
	assert.Equal(t, fields.Kind+" "+fields.Message, "not_ready request refused")
	assert.Equal(t, fields.Status, 503)
	assert.Assert(t, len(shortenLine([]byte(strings.Repeat("x", 2*maxLineBytes)))) < maxLineBytes)
}
