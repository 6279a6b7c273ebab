package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// linesPerSecond bounds each kind of line, failuresPerSecond each kind that tells
	// of a failure or a refusal (level warn and above), which are worth more.
	linesPerSecond    = 200
	failuresPerSecond = 800
	// burstSeconds is the time for which the lines of a calm while may come at once.
	burstSeconds = 2
	// leftOutPeriod is the time between two reports of lines that were left out.
	leftOutPeriod = 10 * time.Second
)

// lineKind is what is bounded: lines with the same message and weight.
type lineKind struct {
	message string
	failure bool
}

// lineLimit bounds the lines of each kind and counts those left out. It implements
// zerolog.Hook and is safe for concurrent use.
type lineLimit struct {
	// leftOut is told of each line that is left out.
	leftOut func()

	mu    sync.Mutex
	kinds map[lineKind]*kindState
}

type kindState struct {
	limiter *rate.Limiter
	leftOut int
}

func newLineLimit(leftOut func()) *lineLimit {
	return &lineLimit{leftOut: leftOut, kinds: make(map[lineKind]*kindState)}
}

// Run implements zerolog.Hook.
func (l *lineLimit) Run(event *zerolog.Event, level zerolog.Level, message string) {
	if !l.take(lineKind{message: message, failure: level >= zerolog.WarnLevel}, time.Now()) {
		event.Discard()
		l.leftOut()
	}
}

// take tells whether a line of the kind may be written now.
func (l *lineLimit) take(kind lineKind, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, found := l.kinds[kind]
	if !found {
		perSecond := linesPerSecond
		if kind.failure {
			perSecond = failuresPerSecond
		}
		state = &kindState{limiter: rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)}
		l.kinds[kind] = state
	}
	if state.limiter.AllowN(now, 1) {
		return true
	}
	state.leftOut++
	return false
}

// drain returns how many lines of each message were left out since the last call.
func (l *lineLimit) drain() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for kind, state := range l.kinds {
		if state.leftOut > 0 {
			counts[kind.message] += state.leftOut
			state.leftOut = 0
		}
	}
	return counts
}

// report logs now and then which lines were left out, until ctx ends.
func (l *lineLimit) report(ctx context.Context, logger zerolog.Logger) {
	for retry.Sleep(ctx, leftOutPeriod) {
		for message, count := range l.drain() {
			logger.Warn().Str("left_out", message).Int("lines", count).Msg("log lines left out")
		}
	}
}
