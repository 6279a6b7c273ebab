package soak

import (
	"fmt"
	"time"
)

// ContentionSummary tells what the checks of contention had to judge by. Times and requests count while no fault was
// active.
type ContentionSummary struct {
	// SmallSent and SmallAnswered count the compared requests of the tenants within their equal share, LargeSent and
	// LargeAnswered those of the tenant that sends half of all.
	SmallSent     int `json:"small_sent"`
	SmallAnswered int `json:"small_answered"`
	LargeSent     int `json:"large_sent"`
	LargeAnswered int `json:"large_answered"`
	// Refused counts the refusals, of which RefusedAtEngines reached an engine that refused them. LatestRefusal is the
	// largest part of its deadline after which a request was refused. RefusedInStalls of them came while the process of
	// the soak stalled, so that their time is not judged.
	Refused          int     `json:"refused"`
	RefusedAtEngines int     `json:"refused_at_engines"`
	RefusedInStalls  int     `json:"refused_in_stalls"`
	LatestRefusal    float64 `json:"latest_refusal"`
	// JobsEnded counts the ended jobs of each trainer, LongestJob is the longest time of an accepted job.
	JobsEnded  map[string]int `json:"jobs_ended"`
	LongestJob time.Duration  `json:"longest_job"`
}

func (h *History) summarizeContention(bounds Bounds) *ContentionSummary {
	if h.Contention == nil {
		return nil
	}
	summary := &ContentionSummary{JobsEnded: make(map[string]int)}
	shares := h.burstShares(bounds)
	small, large := sumWithin(shares, h.equalShare(bounds)), shares[tenantLarge]
	summary.SmallSent, summary.SmallAnswered = small.sent, small.answered
	summary.LargeSent, summary.LargeAnswered = large.sent, large.answered
	arrived := make(map[string]bool)
	for _, engine := range h.Engines {
		for _, arrival := range engine.Arrivals {
			arrived[arrival.ID] = true
		}
	}
	for _, call := range h.Calls {
		if !call.isRefused() || !h.undisturbed(anyNode, call.SentAt, call.EndedAt, bounds.Settle) {
			continue
		}
		summary.Refused++
		if arrived[call.ID] {
			summary.RefusedAtEngines++
		}
		if h.stalled(call.SentAt, call.EndedAt) {
			summary.RefusedInStalls++
			continue
		}
		summary.LatestRefusal = max(summary.LatestRefusal, call.EndedAt.Sub(call.SentAt).Seconds()/call.Deadline.Seconds())
	}
	for _, job := range h.Jobs {
		end, ended := job.endTime()
		if !ended {
			end = h.Contention.LoadEndedAt
		} else {
			summary.JobsEnded[job.Tenant]++
		}
		if job.Accepted {
			summary.LongestJob = max(summary.LongestJob, h.undisturbedTime(job.SentAt, end, bounds.Settle))
		}
	}
	return summary
}

// String returns the line that is printed.
func (s *ContentionSummary) String() string {
	return fmt.Sprintf("without faults: %d of %d requests of tenants within their share answered, %d of %d of the large one; %d refused, %d of them at engines, %d while the soak stalled, the latest of the others after %.2f of its deadline; jobs ended %v, the longest after %s",
		s.SmallAnswered, s.SmallSent, s.LargeAnswered, s.LargeSent, s.Refused, s.RefusedAtEngines, s.RefusedInStalls, s.LatestRefusal, s.JobsEnded, s.LongestJob.Round(time.Millisecond))
}
