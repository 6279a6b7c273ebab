package router

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryRatio is the share of requests that may be retried, which bounds the load that retries add
	// under overload.
	retryRatio = 0.15
	// retryBurst is the number of retries allowed in a burst by the request bucket.
	retryBurst = 20
	// idleRetriesPerSecond allows retries on a node whose traffic is too low to earn them by
	// retryRatio.
	idleRetriesPerSecond = 2
	idleRetryBurst       = 4
)

// retryBudget bounds retries to a share of the requests. The byRequest bucket is filled by requests
// rather than by time: it runs on a virtual clock that advances one second per request.
type retryBudget struct {
	start     time.Time
	requests  atomic.Int64
	byRequest *rate.Limiter
	byTime    *rate.Limiter
}

func newRetryBudget(start time.Time) *retryBudget {
	return &retryBudget{
		start:     start,
		byRequest: rate.NewLimiter(retryRatio, retryBurst),
		byTime:    rate.NewLimiter(idleRetriesPerSecond, idleRetryBurst),
	}
}

// countRequest counts a request, which earns retryRatio of a retry.
func (b *retryBudget) countRequest() {
	b.requests.Add(1)
}

// allow takes one retry from the budget and reports whether there was one.
func (b *retryBudget) allow(now time.Time) bool {
	virtualNow := b.start.Add(time.Duration(b.requests.Load()) * time.Second)
	return b.byRequest.AllowN(virtualNow, 1) || b.byTime.AllowN(now, 1)
}
