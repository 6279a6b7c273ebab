package logstream

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// unavailableService fails and counts every call.
type unavailableService struct{ calls atomic.Int64 }

func (s *unavailableService) Append(context.Context, string, [][]byte) (int64, error) {
	s.calls.Add(1)
	return 0, logservice.ErrUnavailable
}

func (s *unavailableService) Read(context.Context, string, int64, int, time.Duration) (logservice.Batch, error) {
	s.calls.Add(1)
	return logservice.Batch{}, logservice.ErrUnavailable
}

func TestFailuresOfManyStreamsAreLoggedOnce(t *testing.T) {
	var output bytes.Buffer
	service := &unavailableService{}
	manager := NewManager(Options{Service: service, Writer: "w"})
	start := time.Now()
	manager.failures = newFailureLog(zerolog.New(zerolog.SyncWriter(&output)), func() time.Time { return start })
	for _, name := range []string{"steps/a", "steps/b", "steps/c", "steps/d"} {
		manager.Open(name, &policy.Reducer{}, StreamOptions{})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if calls := service.calls.Load(); calls < 16 {
			return poll.Continue("%d calls", calls)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	assert.NilError(t, manager.Close(context.Background()))
	assert.Equal(t, strings.Count(output.String(), "\n"), 1, output.String())
}

// Guards against one log line per failed call: 100 streams fail once a second for 30 seconds.
func TestFailureLogIsRateLimitedDuringOutage(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var output bytes.Buffer
	failures := newFailureLog(zerolog.New(&output), func() time.Time { return now })
	for range 30 {
		for range 100 {
			failures.failed(operationRead, "steps/a", errors.New("down"))
		}
		failures.failed(operationAppend, "steps/a", errors.New("down"))
		now = now.Add(time.Second)
	}
	failures.succeeded(operationRead)
	failures.succeeded(operationRead)

	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	assert.Equal(t, len(lines), 3+3+1, output.String())
	assert.Assert(t, strings.Contains(lines[0], `"operation":"read"`), lines[0])
	assert.Assert(t, strings.Contains(lines[0], `"suppressed":0`), lines[0])
	assert.Assert(t, strings.Contains(lines[2], `"suppressed":999`), lines[2])
	assert.Assert(t, strings.Contains(lines[6], `"message":"log service is available again"`), lines[6])
}

func TestSuccessWithoutSuppressedFailuresIsNotLogged(t *testing.T) {
	var window failureWindow
	start := time.Unix(1_000_000, 0)
	_, report := window.succeeded(start)
	assert.Assert(t, !report)
	_, report = window.failed(start)
	assert.Assert(t, report)
	_, report = window.succeeded(start.Add(time.Hour))
	assert.Assert(t, !report, "the only failure was already logged")
}
