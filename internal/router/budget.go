package router

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryRatio is the share of requests that may be retried: under overload
	// retries add at most this much to the load.
	retryRatio = 0.15
	// retryBurst lets a short trouble pass without a refusal.
	retryBurst = 20
	// idleRetriesPerSecond keeps retries possible on a node with little
	// traffic, where the ratio would earn one in minutes.
	idleRetriesPerSecond = 2
	idleRetryBurst       = 4
)

// retryBudget bounds retries by a share of the requests. Its first bucket is
// filled by requests rather than by time: it runs on a virtual clock that
// advances one second with each request.
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

// request counts one request, which earns retryRatio of a retry.
func (b *retryBudget) request() {
	b.requests.Add(1)
}

// allow takes one retry from the budget, if there is one.
func (b *retryBudget) allow(now time.Time) bool {
	virtualNow := b.start.Add(time.Duration(b.requests.Load()) * time.Second)
	return b.byRequest.AllowN(virtualNow, 1) || b.byTime.AllowN(now, 1)
}
