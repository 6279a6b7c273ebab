package soak

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

const (
	// maxRetryAfter is the longest delay that a refusal may suggest.
	maxRetryAfter = 10 * time.Second
	// maxRefusalShare bounds Bounds.RefusalShare after scaling: a refusal at the deadline is too late on any machine.
	maxRefusalShare = 0.5
	// returnTime is the time within which capacity that others borrowed is given back to a tenant.
	returnTime = time.Second
	// fairnessStandardErrors is the margin of the comparison of two tenants. Where all requests have the same chance,
	// chance alone exceeds it in one of 30,000 comparisons.
	fairnessStandardErrors = 4.0
	// minComparedRequests is the number of requests of each side below which the comparison tells nothing.
	minComparedRequests = 30
	// capacityStep is the step in which the capacity of the engines is added up.
	capacityStep = 20 * time.Millisecond
)

// checkRetryDelays reports refusals without a delay before a retry, or with one that is too long. The delay of a
// request under which engines crashed may be longer: it tells when the next trial is allowed.
func checkRetryDelays(h *History, _ Bounds) []string {
	var found []string
	for _, call := range h.Calls {
		if !call.isRefused() {
			continue
		}
		limit := maxRetryAfter.Seconds()
		if crashesEngine(call.Body) {
			limit = math.MaxFloat64
		}
		if !isDelay(call.Answer.RetryAfter, limit) {
			found = append(found, fmt.Sprintf("request %s was refused with status %d and Retry-After %q", call.ID, call.Answer.Status, call.Answer.RetryAfter))
		}
	}
	for _, job := range h.Jobs {
		for _, refusal := range job.Refusals {
			if !isDelay(refusal.RetryAfter, maxRetryAfter.Seconds()) {
				found = append(found, fmt.Sprintf("job %s was refused with status %d and Retry-After %q", job.Job.ID, refusal.Status, refusal.RetryAfter))
			}
		}
	}
	return found
}

// isDelay reports whether the value of a Retry-After header is a number of seconds above zero and up to the limit.
func isDelay(value string, limit float64) bool {
	seconds, err := strconv.ParseFloat(value, 64)
	return err == nil && seconds > 0 && seconds <= limit
}

// checkRefusalTimes reports refusals that came later than a small part of the deadline, beyond the longest wait that
// the nodes' settings allow, while no fault was active and the process of the soak did not stall.
func checkRefusalTimes(h *History, bounds Bounds) []string {
	if h.Contention == nil {
		return nil
	}
	var found []string
	for _, call := range h.Calls {
		if !call.isRefused() || !h.undisturbed(anyNode, call.SentAt, call.EndedAt, bounds.Settle) || h.stalled(call.SentAt, call.EndedAt) {
			continue
		}
		limit := min(h.Contention.LiveWait, call.Deadline) + time.Duration(bounds.RefusalShare*float64(call.Deadline))
		if took := call.EndedAt.Sub(call.SentAt); took > limit {
			found = append(found, fmt.Sprintf("request %s with a deadline of %s was refused with status %d after %s, more than %s",
				call.ID, call.Deadline, call.Answer.Status, took, limit))
		}
	}
	return found
}

// checkJobsEnd reports trainers none of whose jobs ended although they had the time for it, and accepted jobs that took
// longer than the time after which a trainer abandons them. Time in which a fault was active does not count.
func checkJobsEnd(h *History, bounds Bounds) []string {
	if h.Contention == nil {
		return nil
	}
	var found []string
	ended, hadTime := make(map[string]bool), make(map[string]bool)
	for _, job := range h.Jobs {
		end, isEnded := job.endTime()
		if !isEnded {
			end = h.Contention.LoadEndedAt
		}
		ended[job.Tenant] = ended[job.Tenant] || isEnded
		took := h.undisturbedTime(job.SentAt, end, bounds.Settle)
		hadTime[job.Tenant] = hadTime[job.Tenant] || h.undisturbedTime(job.SentAt, h.Contention.LoadEndedAt, bounds.Settle) > bounds.JobEnd
		if job.Accepted && took > bounds.JobEnd {
			found = append(found, fmt.Sprintf("job %s of %s took %s without faults, more than %s; ended: %t",
				job.Job.ID, job.Tenant, took, bounds.JobEnd, isEnded))
		}
	}
	for tenant := range hadTime {
		if hadTime[tenant] && !ended[tenant] {
			found = append(found, "no job of "+tenant+" ended")
		}
	}
	return found
}

// endTime returns when the job was complete or its cancellation acknowledged, whichever was first, and false if it is
// open. The remaining items of a canceled job are read only at the end of the soak.
func (j *JobRecord) endTime() (time.Time, bool) {
	switch {
	case j.CompletedAt.IsZero():
		return j.EndedAt, !j.EndedAt.IsZero()
	case j.EndedAt.IsZero():
		return j.CompletedAt, true
	default:
		return earlier(j.CompletedAt, j.EndedAt), true
	}
}

// undisturbedTime returns how much of a period no fault affected any node, nor had within the settle time before.
func (h *History) undisturbedTime(from, to time.Time, settle time.Duration) time.Duration {
	var disturbed []TimeSpan
	for _, each := range h.Disturbances {
		span := TimeSpan{From: each.From, To: each.To.Add(settle)}
		if each.To.IsZero() {
			span.To = to
		}
		disturbed = append(disturbed, span)
	}
	slices.SortFunc(disturbed, func(a, b TimeSpan) int { return a.From.Compare(b.From) })
	total := time.Duration(0)
	for _, span := range disturbed {
		if until := earlier(span.From, to); until.After(from) {
			total += until.Sub(from)
		}
		if span.To.After(from) {
			from = span.To
		}
	}
	return total + max(0, to.Sub(from))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// share counts the requests of a tenant in the compared periods, and how many of them were answered, at the first
// attempt or when repeated.
type share struct{ sent, answered int }

func (s share) rate() float64 { return float64(s.answered) / float64(s.sent) }

// checkFairness reports tenants whose requests in bursts are within their equal share of the engines' capacity and
// are answered less often than those of the tenant that sends half of all requests, by more than
// fairnessStandardErrors. It compares each small tenant, and all small tenants together. Only requests that were sent
// while no fault was active count, and none of the first returnTime of a burst.
func checkFairness(h *History, bounds Bounds) []string {
	if h.Contention == nil {
		return nil
	}
	shares, equalShare := h.burstShares(bounds), h.equalShare(bounds)
	large := shares[tenantLarge]
	var found []string
	for tenant, small := range shares {
		if tenant != tenantLarge && float64(small.sent) <= equalShare && isAnsweredLess(small, large) {
			found = append(found, fmt.Sprintf("%s, with %d requests and an equal share of %.0f, had %.3f answered, %s %.3f of %d",
				tenant, small.sent, equalShare, small.rate(), tenantLarge, large.rate(), large.sent))
		}
	}
	if all := sumWithin(shares, equalShare); isAnsweredLess(all, large) {
		found = append(found, fmt.Sprintf("the tenants within their equal share had %.3f of %d requests answered, %s %.3f of %d",
			all.rate(), all.sent, tenantLarge, large.rate(), large.sent))
	}
	return found
}

// equalShare returns the number of requests that each tenant of live requests could have had run in the compared
// periods if all had the same part of the engines.
func (h *History) equalShare(bounds Bounds) float64 {
	senders := make(map[string]bool)
	for _, call := range h.Calls {
		senders[call.Tenant] = true
	}
	return h.comparedCapacity(bounds) / float64(max(1, len(senders)))
}

// sumWithin adds up the requests of the tenants other than tenantLarge that are within their equal share.
func sumWithin(shares map[string]share, equalShare float64) share {
	all := share{}
	for tenant, small := range shares {
		if tenant != tenantLarge && float64(small.sent) <= equalShare {
			all.sent, all.answered = all.sent+small.sent, all.answered+small.answered
		}
	}
	return all
}

// isAnsweredLess reports whether the small tenant's rate is below that of the large one by more than the margin.
func isAnsweredLess(small, large share) bool {
	if small.sent < minComparedRequests || large.sent < minComparedRequests {
		return false
	}
	sent := float64(small.sent + large.sent)
	// The rate is kept off 0 and 1 by one request, where the standard error of few requests would be 0.
	rate := (float64(small.answered+large.answered) + 1) / (sent + 2)
	standardError := math.Sqrt(rate * (1 - rate) * (1/float64(small.sent) + 1/float64(large.sent)))
	return large.rate()-small.rate() > fairnessStandardErrors*standardError
}

// burstShares counts the requests of each tenant in the compared periods.
func (h *History) burstShares(bounds Bounds) map[string]share {
	repeatAnswered := make(map[string]bool)
	for _, call := range h.Calls {
		if call.RetryOf != "" && call.isAnswered() {
			repeatAnswered[call.RetryOf] = true
		}
	}
	shares, tenants := make(map[string]share), burstTenants()
	for _, call := range h.Calls {
		if !slices.Contains(tenants, call.Tenant) || call.RetryOf != "" || !h.isCompared(call.SentAt, bounds) {
			continue
		}
		counted := shares[call.Tenant]
		counted.sent++
		if call.isAnswered() || repeatAnswered[call.ID] {
			counted.answered++
		}
		shares[call.Tenant] = counted
	}
	return shares
}

func (c *LiveCall) isAnswered() bool { return c.Intact && c.Answer.Status == statusOK }

// isCompared reports whether a request that was sent at the given time counts in the comparison of tenants: in a burst,
// after returnTime, with no fault and no replacement of an engine until its deadline.
func (h *History) isCompared(at time.Time, bounds Bounds) bool {
	inBurst := false
	for _, burst := range h.Contention.Bursts {
		inBurst = inBurst || !at.Before(burst.From.Add(returnTime)) && at.Before(burst.To)
	}
	until := at.Add(maxBurstDeadline)
	if !inBurst || !h.undisturbed(anyNode, at, until, bounds.Settle) {
		return false
	}
	for _, replaced := range h.Replacements {
		if replaced.From.Before(until) && replaced.To.Add(bounds.Settle).After(at) {
			return false
		}
	}
	return true
}

// comparedCapacity returns the number of live requests that the engines could run in the compared periods.
func (h *History) comparedCapacity(bounds Bounds) float64 {
	capacity := 0.0
	for _, burst := range h.Contention.Bursts {
		for at := burst.From; at.Before(burst.To); at = at.Add(capacityStep) {
			if h.isCompared(at, bounds) {
				capacity += h.capacityAt(at) * capacityStep.Seconds()
			}
		}
	}
	return capacity
}

// capacityAt returns the number of live requests that the engines could run in a second.
func (h *History) capacityAt(at time.Time) float64 {
	capacity := 0.0
	for _, engine := range h.Engines {
		if engine.Service != standin.ServiceLookup || engine.PlainTime == 0 || engine.StartedAt.After(at) ||
			!engine.EndedAt.IsZero() && !engine.EndedAt.After(at) {
			continue
		}
		pace := 1.0
		for _, change := range engine.Paces {
			if !change.At.After(at) {
				pace = change.Pace
			}
		}
		capacity += float64(engine.Slots) / (pace * engine.PlainTime.Seconds())
	}
	return capacity
}
