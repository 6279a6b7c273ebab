package dispatcher

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// Intervals of the control loops.
const (
	// tickInterval is the interval at which a cell with requests checks deadlines and starved classes,
	// and the minimum time between two reconciliations on demand.
	tickInterval = 50 * time.Millisecond
	// reconcileInterval is the interval at which cells are matched to the engine list, the members and
	// the policy table. It is also the tick interval of an idle dispatcher.
	reconcileInterval = 250 * time.Millisecond
	// announceMinimumInterval is the minimum time between two announcements of a changed digest,
	// announceMaximumInterval the time after which an unchanged digest is announced again.
	announceMinimumInterval = 500 * time.Millisecond
	announceMaximumInterval = 2 * time.Second
	// cellIdleTimeout is the time without a request after which a cell owned by another node is
	// closed.
	cellIdleTimeout = 10 * time.Second
	// drainPollInterval is the interval at which Drain checks for active streams.
	drainPollInterval = 20 * time.Millisecond
)

// Timeouts and limits of requests.
const (
	// defaultQueueTimeout applies to a Submit without a queue timeout.
	defaultQueueTimeout = 10 * time.Second
	// lingerTimeout is how long a request without a reader is kept, so that the router can attach to
	// it again.
	lingerTimeout = 5 * time.Second
	// resumeTimeout limits the time spent on resuming a broken engine stream.
	resumeTimeout = 2 * time.Second
	// maximumIdleResumes limits consecutive resumes that bring no new token.
	maximumIdleResumes = 5
	// maximumEngineAttempts limits the engine attempts of one submission.
	maximumEngineAttempts = 8
	// engineAttemptStride separates the engine attempt numbers of successive submissions of one
	// request, so that each engine attempt has a unique number. It must be greater than
	// maximumEngineAttempts.
	engineAttemptStride = 16
	// cancelTimeout limits a best-effort cancel call to an engine.
	cancelTimeout = 2 * time.Second
	// progressReportTokens is the number of new tokens between two progress reports to the scheduler.
	progressReportTokens = 16
	// bufferUnreadTokens is how far an engine stream may run ahead of the reader; bufferRetainedTokens
	// is how many read tokens are kept for a reader that attaches again.
	bufferUnreadTokens   = 16384
	bufferRetainedTokens = 8192
	// bufferMaximumPieceTokens limits the tokens of one buffered piece.
	bufferMaximumPieceTokens = 64
)

// Timeouts and intervals of engine links and load orders.
const (
	// watchInterval is the interval of load reports requested from engines.
	watchInterval = 500 * time.Millisecond
	// watchIdleTimeout is the time without an event after which a watch stream counts as broken.
	watchIdleTimeout = 5 * time.Second
	// engineUnreachableTimeout is the time after which the streams of an unreachable engine count as
	// lost. An engine that closes its connections is detected at once.
	engineUnreachableTimeout = 5 * time.Second
	// orderTimeout limits one order call.
	orderTimeout = 10 * time.Second
	// orderSettleTime is how long an accepted order counts as loading before the engine reports the
	// load.
	orderSettleTime = 2 * time.Second
	// orderRetryDelay is the minimum time between two orders to one engine.
	orderRetryDelay = time.Second
)

var (
	// resumeBackoff is the backoff between attempts to resume a broken engine stream.
	resumeBackoff = retry.Policy{First: 20 * time.Millisecond, Longest: 400 * time.Millisecond}
	// reconnectBackoff is the backoff between connections of an engine's watch stream.
	reconnectBackoff = retry.Policy{First: 50 * time.Millisecond, Longest: 2 * time.Second}
)
