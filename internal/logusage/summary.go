package logusage

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// summaryPeriod is the time between two summaries.
const summaryPeriod = 10 * time.Second

// Summary logs a node's use of the log by topic while calls fail. It is safe for concurrent use.
type Summary struct {
	logger zerolog.Logger

	mu     sync.Mutex
	topics map[string]*topicUsage
}

// topicUsage counts the calls of a topic since the previous summary.
type topicUsage struct {
	calls, refused, unanswered, relayed, bytes int
}

// NewSummary returns a summary that Run writes to logger.
func NewSummary(logger zerolog.Logger) *Summary {
	return &Summary{logger: logger, topics: make(map[string]*topicUsage)}
}

// Add counts a call. relayed is true for a call on behalf of another node.
func (s *Summary) Add(call Call, relayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage, found := s.topics[call.Topic]
	if !found {
		usage = &topicUsage{}
		s.topics[call.Topic] = usage
	}
	usage.calls++
	usage.bytes += call.Bytes
	if relayed {
		usage.relayed++
	}
	switch call.Outcome {
	case Refused:
		usage.refused++
	case Unanswered:
		usage.unanswered++
	}
}

// Run logs a summary of each period with failed calls until ctx ends.
func (s *Summary) Run(ctx context.Context) error {
	ticker := time.NewTicker(summaryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.logAndReset()
		}
	}
}

// logAndReset logs the counts if calls failed, and resets them.
func (s *Summary) logAndReset() {
	s.mu.Lock()
	topics := s.topics
	s.topics = make(map[string]*topicUsage)
	s.mu.Unlock()
	names := make([]string, 0, len(topics))
	hasFailures := false
	for name, usage := range topics {
		names = append(names, name)
		hasFailures = hasFailures || usage.refused+usage.unanswered > 0
	}
	if !hasFailures {
		return
	}
	slices.Sort(names)
	byTopic := zerolog.Dict()
	for _, name := range names {
		usage := topics[name]
		byTopic.Dict(name, zerolog.Dict().Int("calls", usage.calls).Int("refused", usage.refused).
			Int("unanswered", usage.unanswered).Int("relayed", usage.relayed).Int("bytes", usage.bytes))
	}
	s.logger.Info().Dur("period_ms", summaryPeriod).Dict("topics", byTopic).Msg("log calls failed, usage by topic")
}
