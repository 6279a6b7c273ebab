package logstream

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// delayedService delays the results of reads.
type delayedService struct {
	logservice.Service
	delay time.Duration

	mu sync.Mutex
	// producedAt is when the service produced the latest delivered result.
	producedAt time.Time
}

func (s *delayedService) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (logservice.Batch, error) {
	batch, err := s.Service.Read(ctx, stream, from, limit, wait)
	producedAt := time.Now()
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.producedAt = producedAt
	return batch, err
}

func (s *delayedService) lastProducedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.producedAt
}

// Guards against a contact time that is newer than the data: a delayed result is current as of when it was
// produced, not of when it arrived.
func TestLastContactIsNotNewerThanReadResult(t *testing.T) {
	fixture := newFixture(t)
	const delay = 500 * time.Millisecond
	service := &delayedService{Service: fixture.service(), delay: delay}
	manager := NewManager(Options{
		Service: service, Writer: "w", PollWait: 10 * time.Millisecond, Logger: zerolog.Nop(),
	})
	stream := manager.Open("notes/a", &recordingReducer{}, StreamOptions{})
	t.Cleanup(func() {
		stream.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = manager.Close(ctx)
	})
	assert.NilError(t, stream.CatchUp(t.Context()))
	for startedAt := time.Now(); time.Since(startedAt) < 4*delay; time.Sleep(10 * time.Millisecond) {
		contact := manager.LastContact("notes/a")
		producedAt := service.lastProducedAt()
		assert.Assert(t, !contact.After(producedAt.Add(delay/2)), "contact at %s, result produced at %s", contact, producedAt)
	}
}
