// Package ingress answers the requests of live callers: it finds the route,
// chooses an engine, and relays the engine's whole answer.
//
// Invariants: an answer goes to a caller only after it was seen to belong to the
// caller's request; a request that is not repeatable is sent to another engine
// only when the one before has said that it did not run it, or when no byte of
// it was sent; an answer that says "not run" is given only then as well.
package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/callerwrite"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/sendgate"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's name for it.
	ID     string
	Method string
	// Target is the request line's path and query, unaltered.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Credentials are what the caller shows of itself.
	Credentials routes.Credentials
	// Sender is who sent a request that this process makes itself, whose credentials
	// were checked before; nil for those of callers.
	Sender *routes.Sender
	// Budget is the time that the caller waits; zero when it did not say.
	Budget   time.Duration
	Received time.Time
	// After is the number of the last event the caller has; HasAfter is false
	// when it asks from the start.
	After    int64
	HasAfter bool
}

// Call is one try of a request at an engine.
type Call struct {
	Request *Request
	// Sender is who sent the request; engines are told the tenant and never the key.
	Sender routes.Sender
	// Remaining is the time that the engine has.
	Remaining time.Duration
	// After and HasAfter say where a stream continues.
	After    int64
	HasAfter bool
	// MayLeave tells whether the request may still leave this node. It is asked right before its
	// first byte does, in any goroutine; nil sets no limit.
	MayLeave func() bool
}

// Answer is an engine's answer, its body not yet read.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted: the engine says that it did not run the request.
	NotExecuted bool
	// WrongEngine: another engine answers at the address.
	WrongEngine bool
	// Load is what the engine said of itself; nil when it did not.
	Load *fleet.Load
	// LoadFault says why what the engine said of its load cannot be read; nil where it can, or there is none.
	LoadFault error
	// Stamp is the engine's signature of the answer; empty when there is none.
	Stamp string
}

// SendError is a try that gave no answer.
type SendError struct {
	// MayHaveRun is false when no byte of the request was sent.
	MayHaveRun bool
	// HeldBack: the request was not permitted to leave when its connection was there.
	HeldBack bool
	// ConnectionLost: the engine ended the connection before its answer was whole.
	ConnectionLost bool
	Cause          error
}

// Error implements the error interface.
func (e *SendError) Error() string { return e.Cause.Error() }

// Engines sends requests to engines. An error is a *SendError.
type Engines interface {
	Send(ctx context.Context, engine fleet.Engine, call Call) (*Answer, error)
}

// Guard keeps requests under which engines ended away from the others; see
// crashes.Guard.
type Guard interface {
	// Admit returns nil if the request may go to an engine, or why it may not.
	Admit(ctx context.Context, fingerprint func() quarantine.Fingerprint) *errkind.Error
	// ConnectionLost tells whether the engine has ended under the request.
	ConnectionLost(ctx context.Context, loss crashes.Loss) bool
	// Standing returns what is known of a request.
	Standing(fingerprint func() quarantine.Fingerprint) quarantine.Standing
	// Answered notes that an engine ran the request to a good end.
	Answered(fingerprint func() quarantine.Fingerprint)
}

// ColdPermits lets requests go to engines that count as cold; see coldpermits.Asker.
type ColdPermits interface {
	// Ask returns a permit for one of the engines of a service.
	Ask(ctx context.Context, service string, engines []fleet.Engine) (coldpermits.Permit, coldpermits.Denial)
}

// Options are the parts that a relay works with.
type Options struct {
	Engines Engines
	Fleet   *fleet.Fleet
	Guard   Guard
	// Gate is asked before requests leave; nil for one that asks Fleet.
	Gate *sendgate.Gate
	// ColdPermits is asked for the engines of services that have a slow start only.
	ColdPermits ColdPermits
	// Table returns the configuration in force; nil when none is known.
	Table func() *routes.Table
	// Current tells whether Table is known to be the newest one, but for a few seconds.
	Current func() bool
	// Zone and Region are those of this node.
	Zone   string
	Region string
	Seed   uint64
	// Callers bounds what is held for callers that read slowly.
	Callers callerwrite.Limits
	Logger  zerolog.Logger
	// Began is told once of each caller's request that an engine has begun to run, and
	// when it did.
	Began func(tenant string, at time.Time)
	// LoadUnreadable, if set, is told of each answer whose load cannot be read.
	LoadUnreadable func(engine fleet.Engine, fault error)
	// Observe is told of each request's end.
	Observe func(route string, kind string, took time.Duration)
}

// Relay answers requests.
type Relay struct {
	options  Options
	splitter *routes.Splitter
	// now reads a clock that goes on while the machine is suspended.
	now func() time.Time
}

// New returns a relay.
func New(options Options) *Relay {
	options.Gate = sendgate.OrNew(options.Gate, options.Fleet)
	return &Relay{options: options, splitter: routes.NewSplitter(options.Seed), now: boottime.Now}
}

const (
	// maxTries bounds the engines asked, refusals included.
	maxTries = 5
	// defaultTimeout holds for requests for which neither caller nor route has one.
	defaultTimeout = 30 * time.Second
	// refusalRetry is the delay that a refused caller is told, evacuatedRetry one whose engines are all
	// in evacuated zones: these come back when an operator says so, which takes seconds at least.
	refusalRetry   = 150 * time.Millisecond
	evacuatedRetry = time.Second
	// minPatience and patienceObjectives say how long an engine may be silent
	// before a repeatable request is tried at another: the larger of the two.
	minPatience        = 200 * time.Millisecond
	patienceObjectives = 2
	// minRemaining is the least time with which an engine is still asked.
	minRemaining = 5 * time.Millisecond
)

// Serve answers a request of a live route. It returns the error that the caller
// is to be told; nil when an answer was written or nobody waits any more.
func (r *Relay) Serve(w http.ResponseWriter, callerContext context.Context, request *Request) *errkind.Error {
	x, cancel, failure := r.begin(w, callerContext, request)
	if failure != nil {
		return failure
	}
	defer cancel()
	failure = x.run()
	x.log(failure)
	if failure != nil && x.status != 0 {
		// Ends the caller's connection: what was written must not look whole.
		panic(http.ErrAbortHandler)
	}
	return failure
}

// begin finds the way of a request by the configuration in force.
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
		relay: r, request: request, route: route, table: table, sender: sender, ctx: ctx, caller: callerContext, w: w,
		service: r.splitter.Pick(route), endsAt: r.now().Add(time.Until(deadline)),
	}, cancel, nil
}

// senderOf returns who sent a request. An own one of a tenant that the configuration does not hold any
// more is bound by the homes of the work that it is made for.
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
