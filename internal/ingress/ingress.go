// Package ingress serves the requests of live callers: it finds the route, chooses an engine, and relays the engine's
// answer.
//
// Invariants:
//   - An answer is forwarded to a caller only after it was verified to belong to the caller's request.
//   - A request that is not repeatable is sent to another engine only if the previous engine reported that it did not
//     run it, or if no byte of it was sent.
//   - A request that submits a batch job by the configuration with which it is relayed is sent to no engine.
//   - An answer that has begun is completed only by the end of an engine's answer that continues it. Otherwise the
//     caller's connection is aborted.
//   - An error states that a request was not executed only if each engine tried reported that it did not run it, or got
//     no byte of it.
package ingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/livequeue"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/sendgate"
)

// Request is a request of a caller.
type Request struct {
	// ID is assigned by the caller.
	ID     string
	Method string
	// Target is the path and query of the request line, unmodified.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Credentials are those that the caller presented.
	Credentials routes.Credentials
	// Sender is the sender of a request that this process makes itself, whose credentials were checked before; nil for
	// requests of callers.
	Sender *routes.Sender
	// Budget is how long the caller waits for an answer; zero if not given.
	Budget   time.Duration
	Received time.Time
	// After is the ID of the last event that the caller received. HasAfter is false if it requests the stream from
	// the start.
	After    int64
	HasAfter bool
}

// Call is one try to send a request to an engine.
type Call struct {
	Request *Request
	// Sender is the sender of the request. Engines receive the tenant, but never the key.
	Sender routes.Sender
	// Remaining is the time that is left for the engine.
	Remaining time.Duration
	// After and HasAfter are where a stream is resumed; see Request.
	After    int64
	HasAfter bool
	// MaySend reports whether the request may still be sent. It is called right before the first byte is written,
	// from any goroutine; nil means always.
	MaySend func() bool
}

// Answer is an engine's answer. Its body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted is true if the engine reported that it did not run the request.
	NotExecuted bool
	// WrongEngine is true if another engine answered at the address.
	WrongEngine bool
	// EndsWithConnection is true if the answer has no length, so that its body lasts until the engine closes the
	// connection. An empty one may be what an engine sent before it failed.
	EndsWithConnection bool
	// Load is the load that the engine reported; nil if none.
	Load *fleet.Load
	// LoadError is why the reported load cannot be decoded; nil if it can, or if there is none.
	LoadError error
	// Stamp is the engine's signature of the answer; empty if there is none.
	Stamp string
}

// SendError is the error of a try that got no answer.
type SendError struct {
	// MayHaveRun is false if no byte of the request was sent.
	MayHaveRun bool
	// NotPermitted is true if Call.MaySend reported false once the connection was established.
	NotPermitted bool
	// ConnectionLost is true if the engine closed the connection before its answer was complete.
	ConnectionLost bool
	Cause          error
}

// Error implements the error interface.
func (e *SendError) Error() string { return e.Cause.Error() }

// Engines sends requests to engines. An error is a *SendError.
type Engines interface {
	Send(ctx context.Context, engine fleet.Engine, call Call) (*Answer, error)
}

// Guard quarantines live requests during which engines crashed; see crashes.Guard.
type Guard interface {
	// Admit returns nil if the request may be sent to an engine, and the reason otherwise.
	Admit(ctx context.Context, fingerprint func() quarantine.Fingerprint) *errkind.Error
	// ConnectionLost reports whether the engine crashed during the request.
	ConnectionLost(ctx context.Context, loss crashes.LostConnection) bool
	// Status returns the quarantine state of a request.
	Status(fingerprint func() quarantine.Fingerprint) quarantine.Status
	// Answered notes that an engine completed the request successfully.
	Answered(fingerprint func() quarantine.Fingerprint)
}

// ColdPermits grants permits to send requests to cold engines; see coldpermits.Client.
type ColdPermits interface {
	// RequestPermit returns a permit for one of the given engines of a service, or a denial.
	RequestPermit(ctx context.Context, service string, engines []fleet.Engine) (coldpermits.Permit, coldpermits.Decision)
}

// Options configure a relay.
type Options struct {
	Engines Engines
	Fleet   *fleet.Fleet
	Guard   Guard
	// ExemptGuard is the guard of the requests that this process makes itself for work that it has accepted, such as
	// scoring calls of batch jobs; see crashes.Exempt.
	ExemptGuard Guard
	// Gate checks whether requests may still be sent; nil for one based on Fleet.
	Gate *sendgate.Gate
	// ColdPermits is used only for services with a slow start.
	ColdPermits ColdPermits
	// Table returns the configuration in force; nil if none is known.
	Table func() *routes.Table
	// Current reports whether Table is known to be up to date within a few seconds.
	Current func() bool
	// Zone and Region are those of this node.
	Zone   string
	Region string
	// Seed determines where the split of requests among the services of a route starts; see routes.NewSplitter.
	Seed uint64
	// CallerLimits bound the memory and the time spent on slow callers.
	CallerLimits callerwrite.Limits
	Logger       zerolog.Logger
	// OnStart is called once for each caller's request that an engine may have started, with the time at which it was
	// sent.
	OnStart func(tenant string, at time.Time)
	// OnInvalidLoad, if set, is called for each answer whose load cannot be decoded.
	OnInvalidLoad func(engine fleet.Engine, fault error)
	// Observe is called at the end of each request.
	Observe func(route string, kind string, took time.Duration)
	// LiveQueue bounds the callers' requests that wait while all engines are full; with a MaxWait of zero none waits.
	LiveQueue livequeue.Limits
	// OnQueueDecision, if set, is called for each request that waited or was refused by the queue.
	OnQueueDecision func(decision QueueDecision, waited time.Duration)
	// OnQueueLength, if set, is called when the number or the bytes of the waiting requests changed.
	OnQueueLength func(requests int, bytes int64)
}

// Relay serves requests by relaying them to engines.
type Relay struct {
	options  Options
	splitter *routes.Splitter
	// live is nil if no request waits.
	live *liveQueue
	// stop is nil unless the node stops.
	stop atomic.Pointer[plannedStop]
	// now is a clock that advances while the machine is suspended.
	now func() time.Time
}

// New returns a relay.
func New(options Options) *Relay {
	options.Gate = sendgate.OrNew(options.Gate, options.Fleet)
	return &Relay{
		options: options, splitter: routes.NewSplitter(options.Seed), live: newLiveQueue(options), now: boottime.Now,
	}
}

const (
	// maxTries bounds the number of engines tried, including those that refuse.
	maxTries = 5
	// defaultTimeout applies if the route has no timeout.
	defaultTimeout = 30 * time.Second
	// refusalRetryAfter is the retry delay of a refused request.
	refusalRetryAfter = 150 * time.Millisecond
	// evacuatedRetryAfter is that of a request whose engines are all in evacuated zones. It is longer, since an
	// operator must end the evacuation.
	evacuatedRetryAfter = time.Second
	// A try that may be repeated is given minTryTimeout or tryTimeoutObjectives times the route's latency objective,
	// whichever is longer.
	minTryTimeout        = 200 * time.Millisecond
	tryTimeoutObjectives = 2
	// minRemaining is the minimum remaining time with which an engine is still tried.
	minRemaining = 5 * time.Millisecond
)

// Serve serves a request of a live route. It returns the error to send to the caller; nil if an answer was written. It
// panics with http.ErrAbortHandler if the answer was truncated.
func (r *Relay) Serve(w http.ResponseWriter, callerContext context.Context, request *Request) *errkind.Error {
	x, cancel, failure := r.begin(w, callerContext, request)
	if failure != nil {
		return failure
	}
	defer cancel()
	failure = x.run()
	x.log(failure)
	switch {
	case x.status == 0:
		return failure
	case !x.complete:
		// Closes the caller's connection, so that the truncated answer is not taken for a complete one.
		panic(http.ErrAbortHandler)
	default:
		return nil
	}
}

// begin routes a request by the configuration in force and returns its exchange.
func (r *Relay) begin(
	w http.ResponseWriter, callerContext context.Context, request *Request,
) (*exchange, context.CancelFunc, *errkind.Error) {
	table := r.options.Table()
	if table == nil {
		return nil, nil, errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		r.options.Logger.Warn().Str("id", request.ID).Str("host", request.Host).Str("path", request.Path).
			Int64("config", table.Version).Msg("no route")
		return nil, nil, errkind.New(errkind.UnknownService, "no route for %s%s", request.Host, request.Path)
	}
	if route.AcceptsJob(request.Method) {
		return nil, nil, becameBatchFailure(route)
	}
	sender, failure := r.senderOf(callerContext, table, route, request)
	if failure != nil {
		return nil, nil, failure
	}
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if request.Budget > 0 {
		timeout = min(timeout, request.Budget)
	}
	deadline := request.Received.Add(timeout)
	ctx, cancel := context.WithDeadline(callerContext, deadline)
	return &exchange{
		relay: r, request: request, route: route, table: table, sender: sender,
		guard: r.options.Guard, ctx: ctx, callerCtx: callerContext, w: w,
		service: r.splitter.Pick(route), endsAt: r.now().Add(time.Until(deadline)),
	}, cancel, nil
}

// becameBatchFailure is the error of a live request whose route became a batch route before an engine ran it. Resent, it
// is accepted as a batch job.
func becameBatchFailure(route *routes.Route) *errkind.Error {
	failure := errkind.New(errkind.NotReady, "%s became a batch route while the request was under way", route.Name)
	failure.RetryAfter = refusalRetryAfter
	return failure
}

// senderOf returns the sender of a request. An internal request for a tenant that was removed from the configuration is
// bound to the homes in ctx, those of the work for which it is made.
func (r *Relay) senderOf(
	ctx context.Context, table *routes.Table, route *routes.Route, request *Request,
) (routes.Sender, *errkind.Error) {
	if request.Sender != nil {
		sender := *request.Sender
		set, known := table.HomesOf(request.Host, request.Path, sender.Tenant)
		if !known {
			set = set.Intersect(homes.FromContext(ctx))
		}
		sender.Homes = set
		return sender, nil
	}
	return table.SenderOf(route, request.Credentials, r.options.Current())
}
