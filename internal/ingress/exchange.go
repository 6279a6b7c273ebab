package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/livequeue"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// exchange is the state of one request in the relay.
type exchange struct {
	relay   *Relay
	request *Request
	route   *routes.Route
	table   *routes.Table
	sender  routes.Sender
	service string
	guard   Guard
	// ctx ends at the request's deadline or with callerCtx, which ends when the caller disconnects or a planned stop ends.
	ctx       context.Context
	callerCtx context.Context
	w         http.ResponseWriter
	// endsAt is the deadline by the relay's clock, which advances while the machine is suspended; the clock of ctx
	// does not.
	endsAt time.Time

	// tried holds the IDs of the engines tried. refusedFull holds those of them that reported that they did not run the
	// request and have no free slot. A request that waits may be sent to these again.
	tried       []string
	refusedFull []string
	// slot is the slot granted by the queue and not used yet; nil for none. waitsSince is when the request first waited.
	slot       *livequeue.Entry
	waitsSince time.Time
	// denial is why no cold engine was tried, if only cold engines were left.
	denial coldpermits.Decision
	// fingerprint is computed on first use; see fingerprintOf.
	fingerprint *quarantine.Fingerprint
	// admittedCrashes is the number of crashes under the same request before it was admitted; only with a queue.
	admittedCrashes int
	// executions counts the engines that may have run the request.
	executions int
	// startReported is true once Options.OnStart was called for the request.
	startReported bool
	// serverErrors counts the engines that ran the request and answered with status 500.
	serverErrors int
	// status is the status written to the caller; zero before. stamp is the engine's signature of that answer.
	status int
	stamp  string
	// received is true once an engine's answer was received to its end, complete once it was also written to the caller.
	received bool
	complete bool
	// callerLost is true if a write to the caller failed.
	callerLost bool
	// lastEventID is the ID of the last event of a stream that was written to the caller, unnumbered is true if it was
	// written an event without ID. streaming is true once the stream's header was written.
	lastEventID int64
	unnumbered  bool
	streaming   bool
}

// verdict is the result of one try.
type verdict uint8

const (
	// answered: an answer was written to the caller.
	answered verdict = iota
	// tryNext: the request may be sent to another engine.
	tryNext
	// giveUp: the request must not be sent again.
	giveUp
)

var verdictNames = [...]string{answered: "answered", tryNext: "try_next", giveUp: "give_up"}

// String returns the verdict as logged.
func (v verdict) String() string { return verdictNames[v] }

// run tries engines until one answers or no other may be tried.
func (x *exchange) run() *errkind.Error {
	if x.relay.live != nil {
		// Read before the request is admitted, so that no later crash is missed.
		x.admittedCrashes = x.guard.Status(x.fingerprintOf).Crashes
	}
	if failure := x.guard.Admit(x.ctx, x.fingerprintOf); failure != nil {
		return failure
	}
	defer x.releaseSlot()
	for len(x.tried) < maxTries {
		if x.ctx.Err() != nil {
			return x.timeoutFailure()
		}
		if failure := x.stopFailure(); failure != nil {
			return failure
		}
		if !x.relay.options.Gate.AwaitEnginesKnown(x.ctx) {
			return x.staleStateFailure()
		}
		if failure := x.awaitSlot(); failure != nil {
			return failure
		}
		choice, permitValid, found := x.choose()
		if !found && x.waitForPermit() {
			continue
		}
		if !found {
			break
		}
		// The request may have waited since the check above.
		if failure := x.stopFailure(); failure != nil {
			return failure
		}
		switch x.try(choice, permitValid) {
		case answered:
			return nil
		case giveUp:
			return x.finalFailure()
		}
		if x.executions >= max(1, x.route.MaxAttempts) {
			break
		}
	}
	if x.ctx.Err() != nil {
		return x.timeoutFailure()
	}
	return x.finalFailure()
}

// homes returns the regions whose engines may run the request, by the latest configuration, which may be newer than the
// one with which the request began.
func (x *exchange) homes() homes.Set {
	table := x.relay.options.Table()
	if table == nil || table.Version <= x.table.Version {
		return x.sender.Homes
	}
	if set, known := table.HomesOf(x.request.Host, x.request.Path, x.sender.Tenant); known {
		return set
	}
	return x.sender.Homes
}

// timeoutFailure is the error when ctx has ended. A caller that has disconnected does not receive it.
func (x *exchange) timeoutFailure() *errkind.Error {
	if x.callerLeft() && x.executions == 0 {
		return errkind.New(errkind.Canceled, "the caller left")
	}
	return x.finalFailure()
}

// finalFailure is the error when no engine gave a complete answer.
func (x *exchange) finalFailure() *errkind.Error {
	if x.status != 0 && (x.callerLost || x.callerLeft()) {
		return errkind.New(errkind.Canceled, "the caller left before the end of the answer")
	}
	if x.status != 0 {
		return errkind.New(errkind.EngineFailed, "the answer broke off and no engine continues it")
	}
	if x.stopEnded() && x.executions > 0 {
		return errkind.New(errkind.OutcomeUnknown, "the planned stop of this node ended before an engine answered")
	}
	if x.stopEnded() {
		return errkind.New(errkind.ShuttingDown, "the planned stop of this node ends")
	}
	if x.executions > 0 {
		return errkind.New(errkind.EngineFailed, "%d engines were asked and none answered in time", x.executions)
	}
	if regions := x.homes(); !x.relay.options.Fleet.HasEngines(x.service, regions) && regions.IsRestricted() {
		return errkind.New(errkind.OutsideHomes, "no engine of %s is in %s", x.service, regions)
	}
	if evacuated := x.relay.options.Fleet.CountEvacuated(x.service); evacuated > 0 && len(x.tried) == 0 {
		failure := errkind.New(errkind.NoCapacity, "no engine of %s takes requests, %d are in evacuated zones", x.service, evacuated)
		failure.RetryAfter = evacuatedRetryAfter
		return failure
	}
	if x.denial.Outcome != coldpermits.Granted {
		return x.coldOnlyFailure()
	}
	failure := errkind.New(errkind.NoCapacity, "no engine of %s took the request, %d were asked", x.service, len(x.tried))
	failure.RetryAfter = x.refusalRetryAfter()
	return failure
}

// staleStateFailure is the error while this node, after a suspension of its process, has not yet read the evacuations
// and the engine list again. The caller may retry at another node, or here shortly after.
func (x *exchange) staleStateFailure() *errkind.Error {
	if x.ctx.Err() != nil || x.executions > 0 || x.status != 0 {
		return x.timeoutFailure()
	}
	failure := errkind.New(errkind.NotReady, "this node stood still and has not read the evacuations and the engine list again")
	failure.RetryAfter = refusalRetryAfter
	return failure
}

// fingerprintOf returns the fingerprint of the request, which is computed once.
func (x *exchange) fingerprintOf() quarantine.Fingerprint {
	if x.fingerprint == nil {
		fingerprint := quarantine.Request{
			Tenant: x.sender.Tenant, Method: x.request.Method, Host: x.request.Host, Target: x.request.Target,
			Body: x.request.Body,
		}.Fingerprint()
		x.fingerprint = &fingerprint
	}
	return *x.fingerprint
}

func (x *exchange) log(failure *errkind.Error) {
	took := time.Since(x.request.Received)
	level := zerolog.InfoLevel
	if failure != nil {
		level = zerolog.WarnLevel
	}
	line := x.relay.options.Logger.WithLevel(level).Str("id", x.request.ID).Str("route", x.route.Name).
		Str("service", x.service).Str("tenant", x.sender.Tenant).Int64("config", x.table.Version).
		Int("tried", len(x.tried)).Int("ran", x.executions).Int("status", x.status).Bool("complete", x.complete).
		Bool("caller_left", x.callerLeft()).Dur("took_ms", took)
	if x.sender.Homes.IsRestricted() {
		line = line.Stringer("homes", x.sender.Homes)
	}
	kind := "ok"
	if failure != nil {
		kind = failure.Kind.String()
		line = line.Str("kind", kind).Str("error", failure.Message)
	}
	line.Msg("request ended")
	x.relay.options.Observe(x.route.Name, kind, took)
}
