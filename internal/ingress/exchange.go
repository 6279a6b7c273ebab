package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// exchange is the way of one request through the relay.
type exchange struct {
	relay   *Relay
	request *Request
	route   *routes.Route
	table   *routes.Table
	sender  routes.Sender
	service string
	// ctx ends at the request's deadline or when the caller leaves, caller only
	// when it leaves.
	ctx    context.Context
	caller context.Context
	w      http.ResponseWriter
	// endsAt is the deadline by the relay's clock: that of ctx does not count the time
	// for which the machine is suspended.
	endsAt time.Time

	tried []string
	// denial says why no cold engine was asked, if one was left.
	denial coldpermits.Denial
	// fingerprint is nil until it is asked for.
	fingerprint *quarantine.Fingerprint
	// ran counts the engines that may have run the request.
	ran int
	// counted is true once the request was told of as begun.
	counted bool
	// serverErrors counts the engines that ran the request and answered 500.
	serverErrors int
	// status is what was written to the caller, zero when nothing was, and stamp
	// the signature of the engine that made it.
	status int
	stamp  string
	// whole is true once the caller was given an engine's whole answer.
	whole bool
	// after and streamed are the state of a stream that was begun.
	after    int64
	streamed bool
}

// verdict is what follows from one try.
type verdict uint8

const (
	// answered: the caller has its answer.
	answered verdict = iota
	// tryNext: another engine may be asked.
	tryNext
	// giveUp: no other engine may be asked.
	giveUp
)

var verdictNames = [...]string{answered: "answered", tryNext: "try_next", giveUp: "give_up"}

// String returns the verdict as it stands in logs.
func (v verdict) String() string { return verdictNames[v] }

func (x *exchange) run() *errkind.Error {
	if failure := x.relay.options.Guard.Admit(x.ctx, x.fingerprintOf); failure != nil {
		return failure
	}
	for len(x.tried) < maxTries {
		if x.ctx.Err() != nil {
			return x.timedOut()
		}
		if !x.relay.options.Gate.AwaitKnown(x.ctx) {
			return x.standstillFailure()
		}
		choice, mayLeave, found := x.choose()
		if !found && x.waitForPermit() {
			continue
		}
		if !found {
			break
		}
		switch x.try(choice, mayLeave) {
		case answered:
			return nil
		case giveUp:
			return x.failed()
		}
		if x.ran >= max(1, x.route.MaxAttempts) {
			break
		}
	}
	if x.ctx.Err() != nil {
		return x.timedOut()
	}
	return x.failed()
}

// homes returns the regions whose engines may run the request now: a newer configuration than the
// request began with may have moved them.
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

// timedOut is the answer when the time is over. Nobody reads it if the caller left.
func (x *exchange) timedOut() *errkind.Error {
	if x.caller.Err() != nil && x.ran == 0 {
		return errkind.New(errkind.Canceled, "the caller left")
	}
	return x.failed()
}

// failed is the answer when no engine gave one.
func (x *exchange) failed() *errkind.Error {
	if x.status != 0 {
		return errkind.New(errkind.EngineFailed, "the answer broke off and no engine continues it")
	}
	if x.ran > 0 {
		return errkind.New(errkind.EngineFailed, "%d engines were asked and none answered in time", x.ran)
	}
	if regions := x.homes(); !x.relay.options.Fleet.Serves(x.service, regions) && regions.Bound() {
		return errkind.New(errkind.OutsideHomes, "no engine of %s is in %s", x.service, regions)
	}
	if evacuated := x.relay.options.Fleet.Evacuated(x.service); evacuated > 0 && len(x.tried) == 0 {
		failure := errkind.New(errkind.NoCapacity, "no engine of %s takes requests, %d are in evacuated zones", x.service, evacuated)
		failure.RetryAfter = evacuatedRetry
		return failure
	}
	if x.denial.Outcome != coldpermits.Granted {
		return x.onlyColdLeft()
	}
	failure := errkind.New(errkind.NoCapacity, "no engine of %s took the request, %d were asked", x.service, len(x.tried))
	failure.RetryAfter = refusalRetry
	return failure
}

// standstillFailure is the answer while what this node knows of evacuations and engines is from before a standstill.
// Other nodes know more, and so does this one a moment later.
func (x *exchange) standstillFailure() *errkind.Error {
	if x.ctx.Err() != nil || x.ran > 0 || x.status != 0 {
		return x.timedOut()
	}
	failure := errkind.New(errkind.NotReady, "this node stood still and has not read the evacuations and the engine list again")
	failure.RetryAfter = refusalRetry
	return failure
}

// fingerprintOf returns the fingerprint of the request.
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
		Int("tried", len(x.tried)).Int("ran", x.ran).Int("status", x.status).
		Bool("caller_left", x.caller.Err() != nil).Dur("took_ms", took)
	if x.sender.Homes.Bound() {
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
