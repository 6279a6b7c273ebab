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

// lateService is a log service whose answers to reads come late.
type lateService struct {
	logservice.Service
	delay time.Duration

	mu sync.Mutex
	// answered is when the newest answer that arrived was given.
	answered time.Time
}

func (s *lateService) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (logservice.Batch, error) {
	batch, err := s.Service.Read(ctx, stream, from, limit, wait)
	answered := time.Now()
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = answered
	return batch, err
}

func (s *lateService) answeredAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// TestContactIsAsOldAsTheAnswer: what the log holds is known as of when an answer was given, not
// of when it arrived.
func TestContactIsAsOldAsTheAnswer(t *testing.T) {
	fixture := newFixture(t)
	const delay = 500 * time.Millisecond
	service := &lateService{Service: fixture.service(), delay: delay}
	manager := NewManager(Options{
		Service: service, Writer: "w", PollWait: 10 * time.Millisecond, Logger: zerolog.Nop(),
	})
	stream := manager.Open("notes/a", &history{}, StreamOptions{})
	t.Cleanup(func() {
		stream.Close()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_ = manager.Close(ctx)
	})
	assert.NilError(t, stream.CatchUp(t.Context()))
	for began := time.Now(); time.Since(began) < 4*delay; time.Sleep(10 * time.Millisecond) {
		contact := manager.LastContact("notes/a")
		answered := service.answeredAt()
		assert.Assert(t, !contact.After(answered.Add(delay/2)), "contact at %s, the answer was given at %s", contact, answered)
	}
}
