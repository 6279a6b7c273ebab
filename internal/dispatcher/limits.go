package dispatcher

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

// Times of the control loops.
const (
	// tickInterval is how often queues are checked for expired deadlines and
	// starved classes while a cell has requests, and the shortest time between
	// two reconciliations out of turn.
	tickInterval = 50 * time.Millisecond
	// reconcileInterval is how often cells are matched to the engine list, the
	// members and the table. Without any request it is the tick as well: what is
	// then left, orders and digests that are due, counts in half seconds.
	reconcileInterval = 250 * time.Millisecond
	// A digest is announced on change, but not more often than the first, and
	// at least as often as the second.
	announceMinimumInterval = 500 * time.Millisecond
	announceMaximumInterval = 2 * time.Second
	// cellIdleTimeout closes a cell that is another node's by rendezvous and
	// has had no request for so long.
	cellIdleTimeout = 10 * time.Second
	// drainPollInterval is how often Drain looks for streams in hand.
	drainPollInterval = 20 * time.Millisecond
)

// Times and bounds of requests.
const (
	// defaultQueueTimeout stands in for a Submit without one.
	defaultQueueTimeout = 10 * time.Second
	// lingerTimeout is how long a request without a reader is kept, so that the
	// router can attach to it again.
	lingerTimeout = 5 * time.Second
	// resumePatience bounds the tries to resume a broken engine stream.
	resumePatience = 2 * time.Second
	// maximumIdleResumes bounds the resumes in a row that bring no new token.
	maximumIdleResumes = 5
	// maximumEngineAttempts bounds the sends of one submission to engines.
	maximumEngineAttempts = 8
	// engineAttemptStride spaces the engines' attempt numbers of successive
	// submissions of one request, so that no two sends share a number. It is
	// higher than maximumEngineAttempts.
	engineAttemptStride = 16
	// cancelTimeout bounds a best-effort cancel at an engine.
	cancelTimeout = 2 * time.Second
	// progressReportTokens is how many new tokens pass between two updates of
	// the scheduler's account of work in flight.
	progressReportTokens = 16
	// bufferUnreadTokens is how far an engine stream may run ahead of the
	// reader; bufferRetainedTokens is how many read tokens are kept for a
	// reader that attaches again.
	bufferUnreadTokens   = 16384
	bufferRetainedTokens = 8192
	// bufferPieceTokens bounds the tokens that are kept as one piece.
	bufferPieceTokens = 64
)

// Times of engine links and orders.
const (
	// watchInterval is the interval of load reports asked of engines.
	watchInterval = 500 * time.Millisecond
	// watchSilence: a watch stream without any event for so long counts as broken.
	watchSilence = 5 * time.Second
	// engineGoneTimeout: the streams of an engine that stayed unreachable for so
	// long count as lost. An engine that closes its connections is noticed at once.
	engineGoneTimeout = 5 * time.Second
	// orderTimeout bounds one order call.
	orderTimeout = 10 * time.Second
	// orderSettleTime is how long an accepted order counts as loading before
	// the engine reports that it loads.
	orderSettleTime = 2 * time.Second
	// orderRetryDelay is the least time between two orders to one engine.
	orderRetryDelay = time.Second
)

var (
	// resumeRetries paces the tries to resume a broken engine stream.
	resumeRetries = retry.Policy{First: 20 * time.Millisecond, Longest: 400 * time.Millisecond}
	// reconnectRetries paces the connections of an engine's watch stream.
	reconnectRetries = retry.Policy{First: 50 * time.Millisecond, Longest: 2 * time.Second}
)
