package ingress

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
)

// minPermitWait is the least time between two questions of one request.
const minPermitWait = 20 * time.Millisecond

// choose returns the engine to try next. One that counts as cold needs a permit, which mayLeave stands
// for; without one the request goes to a warm engine, or to none.
func (x *exchange) choose() (choice fleet.Choice, mayLeave func() bool, found bool) {
	x.denial = coldpermits.Denial{}
	engines := x.relay.options.Fleet
	query := fleet.Query{
		Service: x.service, Zone: x.relay.options.Zone, Region: x.relay.options.Region,
		Regions: x.homes(), Tried: x.tried, Now: time.Now(),
	}
	choice, found = engines.Choose(query)
	if !found || !choice.Cold {
		return choice, nil, found
	}
	candidates := engines.ColdCandidates(query, coldpermits.MaxEngines)
	permit, denial := x.relay.options.ColdPermits.Ask(x.ctx, x.service, candidates)
	if denial.Outcome == coldpermits.Granted {
		for _, each := range candidates {
			if each.Incarnation() != permit.Engine {
				continue
			}
			if choice, found = engines.ChoiceOf(each, query, len(candidates)); found {
				return choice, permit.Open, true
			}
		}
		// The engine that was granted has gone meanwhile; the next question names the others.
		denial = coldpermits.Denial{Outcome: coldpermits.Paced, Wait: minPermitWait}
	}
	query.WithoutCold, query.Now = true, time.Now()
	choice, found = engines.Choose(query)
	if !found {
		x.denied(denial, len(candidates))
	}
	return choice, nil, found
}

// denied notes that only cold engines were left, and none of them may be asked.
func (x *exchange) denied(denial coldpermits.Denial, candidates int) {
	x.denial = denial
	x.relay.options.Logger.Info().Str("id", x.request.ID).Str("service", x.service).Int("cold_engines", candidates).
		Stringer("outcome", denial.Outcome).Dur("wait_ms", denial.Wait).Msg("no permit for a cold engine")
}

// waitForPermit waits until a cold engine may be asked and tells whether it may be now. Only a request
// that an engine has begun waits: one that has not is refused at once, and its caller comes again.
func (x *exchange) waitForPermit() bool {
	wait := max(x.denial.Wait, minPermitWait)
	if x.ran == 0 || x.denial.Outcome == coldpermits.Granted || wait > x.endsAt.Sub(x.relay.now()) {
		return false
	}
	retry.Sleep(x.ctx, wait)
	return x.ctx.Err() == nil
}

// onlyColdLeft is the answer when all engines left are cold and have had what they take for now.
func (x *exchange) onlyColdLeft() *errkind.Error {
	failure := errkind.New(errkind.NoCapacity, "the engines of %s that are left have only just started (%s), %d were asked",
		x.service, x.denial.Outcome, len(x.tried))
	failure.RetryAfter = max(refusalRetry, x.denial.Wait)
	return failure
}
