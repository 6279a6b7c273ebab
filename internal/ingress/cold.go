package ingress

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
)

// minPermitWait is the minimum time between two permit requests for a request.
const minPermitWait = 20 * time.Millisecond

// choose returns the engine to try next. A cold engine needs a permit, whose validity permitValid reports; without
// a permit, a warm engine is chosen, or none.
//
// A request that waited for a free slot, or that a full engine refused, goes to an engine with a free slot if there is
// one, and otherwise, as all requests do, to the engine from which a response is expected first.
//
// At most one permit is requested for a choice: after a denial, the following queries are for warm engines.
func (x *exchange) choose() (choice fleet.Choice, permitValid func() bool, found bool) {
	x.denial = coldpermits.Decision{}
	query := x.engineQuery()
	if !x.waitsSince.IsZero() || len(x.refusedFull) > 0 {
		query.ExcludeFull = true
		if choice, permitValid, found = x.chooseBy(&query); found {
			return choice, permitValid, true
		}
		query.ExcludeFull, query.Tried = false, x.tried
		if choice, permitValid, found = x.chooseBy(&query); found || x.waitsSince.IsZero() {
			return choice, permitValid, found
		}
		// Only engines are left that refused the request before it waited. A slot is expected to be free there.
		query.Tried = x.excluded()
	}
	return x.chooseBy(&query)
}

// chooseBy chooses from the engines of a query. After a denied permit it sets ExcludeCold of the query. denial is set
// if no engine is found for lack of a permit.
func (x *exchange) chooseBy(query *fleet.Query) (choice fleet.Choice, permitValid func() bool, found bool) {
	engines := x.relay.options.Fleet
	choice, found = engines.Choose(*query)
	if !found {
		return choice, nil, false
	}
	if !choice.Cold {
		x.denial = coldpermits.Decision{}
		return choice, nil, true
	}
	candidates := engines.ColdCandidates(*query, coldpermits.MaxEngines)
	permit, decision := x.requestPermit(candidates)
	if decision.Outcome == coldpermits.Granted {
		for _, each := range candidates {
			if each.Incarnation() != permit.Engine {
				continue
			}
			if choice, found = engines.ChoiceOf(each, *query, len(candidates)); found {
				return choice, permit.Valid, true
			}
		}
		// The permitted engine was removed meanwhile; the next permit request names the others.
		decision = coldpermits.Decision{Outcome: coldpermits.RateLimited, Wait: minPermitWait}
	}
	query.ExcludeCold, query.Now = true, time.Now()
	choice, found = engines.Choose(*query)
	if !found {
		x.recordDenial(decision, len(candidates))
	}
	return choice, nil, found
}

// requestPermit asks for a permit for one of the cold engines. The call may take as long as the leader is unreachable.
// During it, the granted slot counts only in the regions of these engines.
func (x *exchange) requestPermit(candidates []fleet.Engine) (coldpermits.Permit, coldpermits.Decision) {
	if slot := x.slot; slot != nil {
		regions := make([]string, 0, len(candidates))
		for _, each := range candidates {
			regions = append(regions, each.Region)
		}
		x.relay.live.holdIn(slot, homes.Of(regions))
		defer x.relay.live.holdIn(slot, slot.Regions)
	}
	return x.relay.options.ColdPermits.RequestPermit(x.ctx, x.service, candidates)
}

// engineQuery returns the query for the engines that may run the request now.
func (x *exchange) engineQuery() fleet.Query {
	return fleet.Query{
		Service: x.service, Zone: x.relay.options.Zone, Region: x.relay.options.Region,
		Regions: x.homes(), Tried: x.excluded(), Now: time.Now(),
	}
}

// recordDenial notes that only cold engines are left and that no permit was granted for them.
func (x *exchange) recordDenial(denial coldpermits.Decision, candidates int) {
	x.denial = denial
	x.relay.options.Logger.Info().Str("id", x.request.ID).Str("service", x.service).Int("cold_engines", candidates).
		Stringer("outcome", denial.Outcome).Dur("wait_ms", denial.Wait).Msg("no permit for a cold engine")
}

// waitForPermit waits until another permit may be requested, and reports false if the request should not wait. Only a
// request that an engine may have run waits; another one is refused at once, and its caller retries.
func (x *exchange) waitForPermit() bool {
	wait := max(x.denial.Wait, minPermitWait)
	if x.executions == 0 || x.denial.Outcome == coldpermits.Granted || wait > x.endsAt.Sub(x.relay.now()) {
		return false
	}
	retry.Sleep(x.ctx, wait)
	return x.ctx.Err() == nil
}

// coldOnlyFailure is the error when only cold engines are left and no permit was granted for them.
func (x *exchange) coldOnlyFailure() *errkind.Error {
	failure := errkind.New(errkind.NoCapacity, "the engines of %s that are left have only just started (%s), %d were asked",
		x.service, x.denial.Outcome, len(x.tried))
	failure.RetryAfter = max(refusalRetryAfter, x.denial.Wait)
	return failure
}
