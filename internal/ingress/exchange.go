package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
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
			return x.unknownZones()
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

// unknownZones is the answer while this node does not know which zones are evacuated. Others do, or
// it does itself a moment later.
func (x *exchange) unknownZones() *errkind.Error {
	if x.ctx.Err() != nil || x.ran > 0 || x.status != 0 {
		return x.timedOut()
	}
	failure := errkind.New(errkind.NotReady, "this node stood still and does not know yet which zones are evacuated")
	failure.RetryAfter = refusalRetry
	return failure
}

// try sends the request to one engine, if it may leave by then; nil sets no limit.
func (x *exchange) try(choice fleet.Choice, mayLeave func() bool) verdict {
	engine := choice.Engine
	x.tried = append(x.tried, engine.ID)
	began := time.Now()
	remaining := x.endsAt.Sub(x.relay.now())
	if remaining < minRemaining {
		return giveUp
	}
	ctx, cancel := x.withPatience(remaining)
	defer cancel()
	x.relay.options.Fleet.Began(engine.Incarnation())
	look := x.relay.options.Gate.Look(engine.Incarnation(), mayLeave)
	answer, err := x.relay.options.Engines.Send(ctx, engine, Call{
		Request: x.request, Sender: x.sender, Remaining: remaining,
		After: x.after, HasAfter: x.streamed && x.after > 0, MayLeave: look.MayLeave,
	})
	outcome := fleet.Outcome{}
	x.countBegun(answer, err, began)
	var result verdict
	if err != nil {
		result = x.unanswered(err, &outcome)
	} else {
		result = x.takeAnswer(answer, &outcome)
	}
	outcome.At = time.Now()
	if result == answered {
		outcome.Latency = outcome.At.Sub(began)
	}
	if x.caller.Err() != nil {
		outcome.Failed = false
	}
	x.relay.options.Fleet.Ended(engine.Incarnation(), outcome)
	if outcome.ConnectionLost && x.quarantined(engine) {
		result = giveUp
	}
	if x.whole && x.status/100 == 2 {
		x.relay.options.Guard.Answered(x.fingerprintOf)
	}
	x.logTry(choice, look.Held(), answer, err, result, outcome.At.Sub(began))
	return result
}

// quarantined finds out whether the engine that lost the request has ended, and tells whether
// the request is kept away from the others now.
func (x *exchange) quarantined(engine fleet.Engine) bool {
	guard := x.relay.options.Guard
	crashed := guard.ConnectionLost(x.ctx, crashes.Loss{
		Engine: engine, RequestID: x.request.ID, Fingerprint: x.fingerprintOf(),
	})
	return crashed && guard.Standing(x.fingerprintOf).Crashes >= quarantine.RequestLimit
}

// countBegun tells of a request that an engine may have begun, once.
func (x *exchange) countBegun(answer *Answer, err error, sent time.Time) {
	var failure *SendError
	refused := errors.As(err, &failure) && !failure.MayHaveRun ||
		err == nil && (answer.NotExecuted || answer.WrongEngine)
	if refused || x.counted || x.request.Sender != nil {
		return
	}
	x.counted = true
	x.relay.options.Began(x.sender.Tenant, sent)
}

// withPatience bounds a try after which another is possible.
func (x *exchange) withPatience(remaining time.Duration) (context.Context, context.CancelFunc) {
	last := x.ran+1 >= max(1, x.route.MaxAttempts)
	if !x.route.Repeatable() || x.route.Kind != routes.Safe || last {
		return context.WithCancel(x.ctx)
	}
	patience := max(minPatience, patienceObjectives*x.route.Objective)
	return context.WithTimeout(x.ctx, min(patience, remaining/2))
}

func (x *exchange) unanswered(err error, outcome *fleet.Outcome) verdict {
	var failure *SendError
	known := errors.As(err, &failure)
	outcome.Failed = !known || !failure.HeldBack
	if known && !failure.MayHaveRun {
		outcome.Unreached = !failure.HeldBack
		return tryNext
	}
	outcome.ConnectionLost = failure != nil && failure.ConnectionLost
	outcome.Unreached = outcome.ConnectionLost
	x.ran++
	return x.again()
}

// again tells whether a request that may have run may be sent once more.
func (x *exchange) again() verdict {
	if x.route.Repeatable() {
		return tryNext
	}
	return giveUp
}

func (x *exchange) takeAnswer(answer *Answer, outcome *fleet.Outcome) verdict {
	defer answer.Body.Close()
	outcome.Load = answer.Load
	if answer.WrongEngine || answer.NotExecuted {
		outcome.Gone = answer.WrongEngine
		return tryNext
	}
	x.ran++
	if answer.Status == http.StatusInternalServerError {
		x.serverErrors++
	}
	retryable := answer.Status >= http.StatusInternalServerError && x.route.Repeatable()
	if retryable && x.ran < max(1, x.route.MaxAttempts) && x.ctx.Err() == nil {
		outcome.Failed = true
		return tryNext
	}
	if x.isStream(answer) {
		return x.relayStream(answer, outcome)
	}
	return x.relayWhole(answer, outcome)
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

func (x *exchange) logTry(
	choice fleet.Choice, held fleet.Hold, answer *Answer, err error, result verdict, took time.Duration,
) {
	level := zerolog.InfoLevel
	if result != answered {
		level = zerolog.WarnLevel
	}
	line := x.relay.options.Logger.WithLevel(level).Str("id", x.request.ID).Stringer("engine", choice.Engine.Incarnation()).
		Int("in_flight", choice.InFlight).Bool("cold", choice.Cold).Int("candidates", choice.Candidates).Dur("expected_ms", choice.Expected).Stringer("distance", choice.Distance).
		Dur("load_age_ms", choice.LoadAge).Stringer("verdict", result).Dur("took_ms", took)
	if result != answered {
		line = line.Stringer("fingerprint", x.fingerprintOf())
	}
	if err != nil {
		line = line.Err(err).Stringer("held_back", held)
	}
	if answer != nil {
		line = line.Int("status", answer.Status).Bool("not_executed", answer.NotExecuted)
	}
	line.Msg("engine tried")
}
