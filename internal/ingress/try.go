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
		x.tellLoadFault(engine, answer)
		result = x.takeAnswer(answer, &outcome)
	}
	outcome.At = time.Now()
	if result == answered {
		outcome.Latency = outcome.At.Sub(began)
	}
	if x.caller.Err() != nil {
		outcome.Failed = false
	}
	if x.ctx.Err() != nil {
		// The try ended with the request's time, or its caller: nobody knows whether the engine is in reach.
		outcome.Unreached = false
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

// tellLoadFault tells of a load that cannot be read.
func (x *exchange) tellLoadFault(engine fleet.Engine, answer *Answer) {
	if tell := x.relay.options.LoadUnreadable; tell != nil && answer.LoadFault != nil {
		tell(engine, answer.LoadFault)
	}
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
