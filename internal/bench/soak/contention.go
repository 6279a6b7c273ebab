package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	contentionLookupEngines = 4
	contentionDraftEngines  = 8
	// contentionLookupSlots and contentionDraftSlots are small, so that bursts and jobs of a loopback test exceed them.
	contentionLookupSlots = 2
	contentionDraftSlots  = 3
	// plainTime is twice the work of a live request of the workload, which halves the requests that a burst needs.
	plainTime = 50 * time.Millisecond
	// contentionEventTime is the time between events on a fast engine of the workload.
	contentionEventTime = 28 * time.Millisecond
	// fastPace, mediumPace and slowPace are the factors by which work takes longer. A slow engine needs 60 ms for an
	// event, as in the workload; one in fastOneIn engines is fast.
	fastPace   = 1.0
	mediumPace = 1.5
	slowPace   = 2.1
	fastOneIn  = 4
	// One in mediumOneIn of the other engines is of medium speed.
	mediumOneIn = 4

	// tenantLarge sends half of the requests of each burst, smallTenants tenants the other half in equal parts.
	tenantLarge  = "burst-large"
	smallTenants = 5
	// A burst exceeds the capacity of the engines by the factors minBurstLoad to maxBurstLoad. At maxBurstLoad the
	// part of a small tenant is 1.4 / 2 / 5 = 0.14 of the capacity, which is within an equal share for seven tenants.
	minBurstLoad = 1.1
	maxBurstLoad = 1.4
	// Deadlines of live requests, as in the workload.
	minBurstDeadline = 800 * time.Millisecond
	maxBurstDeadline = 1500 * time.Millisecond
	// One in unsafeOneIn requests of a burst is not repeatable.
	unsafeOneIn = 3
	// Clients wait for Retry-After at most the time that they have left divided by maxRetryWaitDivisor.
	maxRetryWaitDivisor = 3

	contentionTrainers = 4
	// versionTrainer is the only trainer that announces versions: four trainers would announce them faster than the
	// engines load them.
	versionTrainer = 0
	// The first shortTrainers trainers have short items only, shortJobItems in a job; the others have longJobItems
	// items, of which one in longItemOneIn is long.
	shortTrainers  = 2
	shortJobItems  = 48
	longJobItems   = 16
	longItemOneIn  = 3
	longItemPrefix = "long-"
	// Long items have minLongEvents to minLongEvents + longEventsSpread - 1 events.
	minLongEvents    = 40
	longEventsSpread = 56
	// resultsDueMs is the time after which a step of the workload is due.
	resultsDueMs = 7500
	// contentionCallGap and contentionProbeGap keep the load outside bursts far below the capacity.
	contentionCallGap  = time.Second
	contentionProbeGap = 500 * time.Millisecond
)

// paces returns the pace of each engine of the given numbers, drawn from a seed: of each service, a quarter is fast.
func paces(seed uint64, lookups, drafts int) []float64 {
	random := rand.New(rand.NewPCG(seed, contentionStream))
	var all []float64
	for _, count := range []int{lookups, drafts} {
		drawn := make([]float64, count)
		for i := range drawn {
			switch {
			case i < count/fastOneIn:
				drawn[i] = fastPace
			case i%mediumOneIn == mediumOneIn-1:
				drawn[i] = mediumPace
			default:
				drawn[i] = slowPace
			}
		}
		random.Shuffle(count, func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
		all = append(all, drawn...)
	}
	return all
}

// useContentionOptions gives the engines of a slot few slots and a pace of their own.
func (s *engineSlot) useContentionOptions(pace float64) {
	s.slots, s.plainTime = contentionLookupSlots, plainTime
	if s.service == standin.ServiceDrafts {
		s.slots, s.plainTime = contentionDraftSlots, 0
	}
	s.eventTime, s.ownPace, s.pace, s.reportsPace = contentionEventTime, pace, pace, true
}

// otherPace returns the pace to which an engine changes: of the paces other than its own, the one that the target
// selects.
func (f Fault) otherPace(own float64) float64 {
	var others []float64
	for _, pace := range []float64{fastPace, mediumPace, slowPace} {
		if pace != own {
			others = append(others, pace)
		}
	}
	return others[f.Target%len(others)]
}

// applyContentionEvent runs an event of a contention schedule. It returns false if the fault is of another kind.
// Bursts and configurations are left to the driver.
func (d *deployment) applyContentionEvent(ctx context.Context, fault Fault) bool {
	switch fault.Kind {
	case EngineSpeedChanged:
		d.changeSpeed(ctx, d.slots[fault.Target%len(d.slots)], fault)
		return true
	case RequestBurst, ConfigurationChanged:
		return true
	default:
		return false
	}
}

// changeSpeed runs an engine at another speed until the fault ends.
func (d *deployment) changeSpeed(ctx context.Context, slot *engineSlot, fault Fault) {
	slot.setPace(fault.otherPace(slot.ownPace))
	retry.Sleep(ctx, fault.Duration)
	slot.setPace(slot.ownPace)
}

// liveCapacity is the number of live requests that the engines can run in a second at their current speeds.
func (d *deployment) liveCapacity() float64 {
	capacity := 0.0
	for _, slot := range d.slots {
		if slot.service == standin.ServiceLookup {
			capacity += contentionLookupSlots / (slot.currentPace() * plainTime.Seconds())
		}
	}
	return capacity
}

// burstTenants returns the tenants that send requests in bursts, the large one first.
func burstTenants() []string {
	all := []string{tenantLarge}
	for i := range smallTenants {
		all = append(all, fmt.Sprintf("burst-small-%d", i))
	}
	return all
}

func burstKey(tenant string) string { return "key-" + tenant }

// addBurstTenants adds the burst tenants to a configuration, and a due time to its batch routes.
func addBurstTenants(configuration *standin.Configuration) {
	for _, tenant := range burstTenants() {
		configuration.Tenants = append(configuration.Tenants, standin.Tenant{Name: tenant, Keys: []string{burstKey(tenant)}})
	}
	for i := range configuration.Routes {
		if configuration.Routes[i].Kind == standin.RouteBatch {
			configuration.Routes[i].ResultsDueMs = resultsDueMs
		}
	}
}

// probeGap returns the interval between two probes of one node.
func (d *driver) probeGap() time.Duration {
	if d.contention {
		return contentionProbeGap
	}
	return probeGap
}

// playEvents sends the bursts of requests and applies the configurations of a schedule until ctx ends.
func (d *driver) playEvents(ctx context.Context, faults []Fault) {
	began := time.Now()
	for _, fault := range faults {
		if fault.Kind != RequestBurst && fault.Kind != ConfigurationChanged {
			continue
		}
		if !retry.Sleep(ctx, time.Until(began.Add(fault.At))) {
			return
		}
		if fault.Kind == ConfigurationChanged {
			d.configure()
			continue
		}
		d.startBurst(ctx, fault)
	}
}

// startBurst lets all burst tenants send requests for the fault's duration.
func (d *driver) startBurst(ctx context.Context, fault Fault) {
	factor := minBurstLoad + fault.random().Float64()*(maxBurstLoad-minBurstLoad)
	perSecond := factor * d.deployment.liveCapacity()
	now := time.Now()
	span := TimeSpan{From: now, To: now.Add(fault.Duration)}
	d.history.update(func() { d.history.Contention.Bursts = append(d.history.Contention.Bursts, span) })
	for i, tenant := range burstTenants() {
		rate := perSecond / 2
		if tenant != tenantLarge {
			rate /= smallTenants
		}
		random := rand.New(rand.NewPCG(uint64(fault.Target), uint64(i)))
		d.callers.Go(func() { d.sendBurst(ctx, tenant, rate, span.To, random) })
	}
}

// sendBurst sends requests of a tenant at the given mean rate per second until the end of the burst. Gaps are exponential:
// of several streams at full engines, one with more regular gaps than the others is refused less often.
func (d *driver) sendBurst(ctx context.Context, tenant string, rate float64, end time.Time, random *rand.Rand) {
	gap := float64(time.Second) / rate
	for {
		next := time.Duration(gap * random.ExpFloat64())
		if !retry.Sleep(ctx, next) || time.Now().After(end) {
			return
		}
		call := LiveCall{
			Path: standin.PrefixLookup, Kind: standin.RouteSafe, Tenant: tenant,
			Deadline: uniformDuration(random, minBurstDeadline, maxBurstDeadline),
		}
		if random.IntN(unsafeOneIn) == 0 {
			call.Path, call.Kind = prefixPermit, standin.RouteUnsafe
		}
		d.callers.Go(func() { d.sendWithRetry(ctx, call) })
	}
}

// sendWithRetry sends a request and, if it is refused, once more after Retry-After if enough time is left.
func (d *driver) sendWithRetry(ctx context.Context, call LiveCall) {
	prefix, began, deadline := call.Path, time.Now(), call.Deadline
	send := func(retryOf string) LiveCall {
		attempt := call
		attempt.ID, attempt.RetryOf = d.newID("burst-"), retryOf
		attempt.Path, attempt.Body, attempt.Deadline = prefix+attempt.ID, "body of "+attempt.ID, deadline-time.Since(began)
		return d.send(ctx, attempt)
	}
	first := send("")
	if !first.isRefused() {
		return
	}
	seconds, err := strconv.ParseFloat(first.Answer.RetryAfter, 64)
	wait := time.Duration(seconds * float64(time.Second))
	if left := deadline - time.Since(began); err != nil || wait > left/maxRetryWaitDivisor || !retry.Sleep(ctx, wait) {
		return
	}
	send(first.ID)
}

// isRefused reports whether the request was refused with a status that means that it may be sent again.
func (c *LiveCall) isRefused() bool { return c.Intact && isRefusal(c.Answer.Status) }

func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// newContentionJob returns the next job of a trainer. Its items are drawn from the seed. The steps of all trainers are one
// sequence, since they are steps of one model: nodes start jobs of one model in the order of their steps.
func (d *driver) newContentionJob(trainer int, step int64) standin.Job {
	job := standin.Job{
		ID: fmt.Sprintf("job-%d-%d", trainer, step), Step: d.modelStep.Add(1), MinVersion: max(1, d.version.Load()-1),
	}
	random := rand.New(rand.NewPCG(d.seed, contentionStream+uint64(trainer)<<32+uint64(step)))
	items, prefix := shortJobItems, "item-"
	hasLongItems := trainer >= shortTrainers
	if hasLongItems {
		items = longJobItems
	}
	for i := range items {
		itemPrefix := prefix
		switch {
		case random.IntN(failingOneIn) == 0:
			itemPrefix = failPrefix
		case hasLongItems && random.IntN(longItemOneIn) == 0:
			itemPrefix = longItemPrefix
		}
		id := fmt.Sprintf("%s%d-%d-%d-%x", itemPrefix, trainer, step, i, random.Uint32())
		job.Items = append(job.Items, standin.JobItem{
			ID: id, Group: fmt.Sprintf("group-%d-%d-%d", trainer, step, i/groupSize), Body: d.bodyOf(trainer, id), LengthHint: lengthHintOf(id),
		})
	}
	return job
}

func isLong(id string) bool { return strings.HasPrefix(id, longItemPrefix) }

// hintPercents are the values of the length hint in percent of the length: right at the median and often far off.
var hintPercents = []int{40, 70, 100, 140, 250}

// lengthHintOf returns the number of events that the trainer expects of an item.
func lengthHintOf(id string) int {
	const percent = 100
	draw := xxhash.Sum64String("hint of " + id)
	return max(1, eventsOf(id)*hintPercents[draw%uint64(len(hintPercents))]/percent)
}
