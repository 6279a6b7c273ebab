package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
)

// try sends the request to the chosen engine. permitValid is called right before the first byte is sent and reports
// whether the permit for a cold engine is still valid; nil if the engine is not known to be cold.
func (x *exchange) try(choice fleet.Choice, permitValid func() bool) verdict {
	engine := choice.Engine
	x.tried = append(x.tried, engine.ID)
	began := time.Now()
	remaining := x.remaining()
	if remaining < minRemaining {
		return giveUp
	}
	ctx, cancel := x.withTryTimeout(remaining)
	defer cancel()
	x.relay.options.Fleet.RequestStarted(engine.Incarnation())
	x.slotUsed()
	check := x.relay.options.Gate.Check(engine.Incarnation(), permitValid)
	answer, err := x.relay.options.Engines.Send(ctx, engine, Call{
		Request: x.request, Sender: x.sender, Remaining: remaining,
		After: x.lastEventID, HasAfter: x.streaming && x.lastEventID > 0, MaySend: check.MaySend,
	})
	outcome := fleet.Outcome{}
	x.reportStart(answer, err, began)
	var result verdict
	if err != nil {
		result = x.handleSendError(err, &outcome)
	} else {
		x.reportLoadFault(engine, answer)
		result = x.handleAnswer(answer, &outcome)
	}
	outcome.At = time.Now()
	if result == answered {
		outcome.Latency = outcome.At.Sub(began)
	}
	if x.callerCtx.Err() != nil {
		outcome.Failed = false
	}
	if x.ctx.Err() != nil {
		// The try was ended by the deadline or the caller, which does not show whether the engine is reachable.
		outcome.Unreached = false
	}
	x.relay.options.Fleet.RequestEnded(engine.Incarnation(), outcome)
	x.noteRefusal(engine, answer)
	x.relay.live.requestEnded(engine.Service)
	if outcome.ConnectionLost && x.quarantined(engine) {
		result = giveUp
	}
	if x.received && x.status/100 == 2 {
		x.guard.Answered(x.fingerprintOf)
	}
	x.logTry(choice, check.Held(), answer, err, result, outcome.At.Sub(began))
	return result
}

// reportLoadFault reports an answer whose load information cannot be decoded.
func (x *exchange) reportLoadFault(engine fleet.Engine, answer *Answer) {
	if report := x.relay.options.OnInvalidLoad; report != nil && answer.LoadError != nil {
		report(engine, answer.LoadError)
	}
}

// quarantined checks whether the engine that lost the connection has crashed, and reports whether the request is
// quarantined now.
func (x *exchange) quarantined(engine fleet.Engine) bool {
	crashed := x.guard.ConnectionLost(x.ctx, crashes.LostConnection{
		Engine: engine, RequestID: x.request.ID, Fingerprint: x.fingerprintOf(),
	})
	return crashed && x.guard.Status(x.fingerprintOf).Crashes >= quarantine.RequestLimit
}

// reportStart calls Options.OnStart once for a caller's request that an engine may have started. Requests that this
// process makes itself are not reported.
func (x *exchange) reportStart(answer *Answer, err error, sent time.Time) {
	var failure *SendError
	refused := errors.As(err, &failure) && !failure.MayHaveRun ||
		err == nil && (answer.NotExecuted || answer.WrongEngine)
	if refused || x.startReported || x.request.Sender != nil {
		return
	}
	x.startReported = true
	x.relay.options.OnStart(x.sender.Tenant, sent)
}

// withTryTimeout returns a context for one try. It has a shorter deadline than the request if another try may follow.
func (x *exchange) withTryTimeout(remaining time.Duration) (context.Context, context.CancelFunc) {
	last := x.executions+1 >= max(1, x.route.MaxAttempts)
	if !x.route.Repeatable() || x.route.Kind != routes.Safe || last {
		return context.WithCancel(x.ctx)
	}
	return context.WithTimeout(x.ctx, min(x.tryTimeout(), remaining/2))
}

// tryTimeout returns the longest time that a try is given if another one may follow.
func (x *exchange) tryTimeout() time.Duration {
	return max(minTryTimeout, tryTimeoutObjectives*x.route.Objective)
}

func (x *exchange) handleSendError(err error, outcome *fleet.Outcome) verdict {
	var failure *SendError
	known := errors.As(err, &failure)
	outcome.Failed = !known || !failure.NotPermitted
	if known && !failure.MayHaveRun {
		outcome.Unreached = !failure.NotPermitted
		return tryNext
	}
	outcome.ConnectionLost = failure != nil && failure.ConnectionLost
	outcome.Unreached = outcome.ConnectionLost
	x.executions++
	return x.retryVerdict()
}

// retryVerdict decides whether a request that may have run may be sent again.
func (x *exchange) retryVerdict() verdict {
	if x.route.Repeatable() {
		return tryNext
	}
	return giveUp
}

func (x *exchange) handleAnswer(answer *Answer, outcome *fleet.Outcome) verdict {
	defer answer.Body.Close()
	outcome.Load = answer.Load
	if answer.WrongEngine || answer.NotExecuted {
		outcome.AddressReused = answer.WrongEngine
		return tryNext
	}
	x.executions++
	if answer.Status == http.StatusInternalServerError {
		x.serverErrors++
	}
	retryable := answer.Status >= http.StatusInternalServerError && x.route.Repeatable()
	if retryable && x.executions < max(1, x.route.MaxAttempts) && x.ctx.Err() == nil {
		outcome.Failed = true
		return tryNext
	}
	if x.isStream(answer) {
		return x.relayStream(answer, outcome)
	}
	if x.streaming {
		outcome.Failed = answer.Status/100 != 4
		return x.streamInterrupted()
	}
	return x.relayBuffered(answer, outcome)
}

func (x *exchange) logTry(
	choice fleet.Choice, held fleet.Hold, answer *Answer, err error, result verdict, took time.Duration,
) {
	level := zerolog.InfoLevel
	if result != answered {
		level = zerolog.WarnLevel
	}
	line := x.relay.options.Logger.WithLevel(level).Str("id", x.request.ID).
		Stringer("engine", choice.Engine.Incarnation()).Int("in_flight", choice.InFlight).Bool("cold", choice.Cold).
		Int("candidates", choice.Candidates).Dur("expected_ms", choice.Expected).Stringer("distance", choice.Distance).
		Dur("load_age_ms", choice.LoadAge).Stringer("verdict", result).Dur("took_ms", took)
	if choice.InFlightOfPeers > 0 {
		line = line.Int("in_flight_of_peers", choice.InFlightOfPeers)
	}
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
