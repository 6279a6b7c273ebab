package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// Totals summarizes a timeline. It is encoded as JSON by "corkctl report --json".
type Totals struct {
	First time.Time           `json:"first"`
	Last  time.Time           `json:"last"`
	Nodes int                 `json:"nodes"`
	Lines timeline.LineCounts `json:"lines"`

	Requests map[string]int `json:"requests"`
	Tries    map[string]int `json:"tries"`
	Contact  map[string]int `json:"contact"`
	// TopicReads counts full reads of topics.
	TopicReads int            `json:"topic_reads"`
	Processes  map[string]int `json:"processes"`

	Jobs          JobTotals `json:"jobs"`
	Terms         int       `json:"terms"`
	TakeoverCount int       `json:"takeovers"`
	Versions      int       `json:"configuration_versions"`

	Gaps       int     `json:"gaps"`
	LongestGap float64 `json:"longest_gap_s"`
}

// JobTotals counts batch jobs by the events logged about them, and refused calls about them.
type JobTotals struct {
	// Named counts all jobs of the timeline, including those whose submission is not in the logs.
	Named          int `json:"named"`
	Submitted      int `json:"submitted"`
	Ended          int `json:"ended"`
	SubmitsRefused int `json:"submits_refused"`
	EndsRefused    int `json:"ends_refused"`
	ItemsFinished  int `json:"items_finished"`
}

// Sum returns the timeline's totals.
func Sum(built *timeline.Timeline) Totals {
	totals := Totals{
		First: built.First.UTC(), Last: built.Last.UTC(), Nodes: built.Nodes, Lines: built.Lines,
		Requests: counts(built.Requests), Tries: counts(built.Tries), Contact: counts(built.Contact),
		TopicReads: built.Topics.Total(), Processes: counts(built.Processes),
		Jobs: sumJobs(built.Jobs), Terms: len(built.Terms), TakeoverCount: len(built.Takeovers), Versions: len(built.Versions),
		Gaps: built.GapsFound,
	}
	for _, gap := range built.Gaps {
		totals.LongestGap = max(totals.LongestGap, gap.Duration().Seconds())
	}
	return totals
}

func counts(rates *timeline.Rates) map[string]int {
	counted := map[string]int{}
	for _, label := range rates.Labels() {
		counted[label] = rates.Total(label)
	}
	return counted
}

func sumJobs(jobs []timeline.Job) JobTotals {
	totals := JobTotals{Named: len(jobs)}
	for i := range jobs {
		job := &jobs[i]
		if !job.Submitted.IsZero() {
			totals.Submitted++
		}
		if !job.EndRequested.IsZero() {
			totals.Ended++
		}
		totals.SubmitsRefused += job.SubmitsRefused
		totals.EndsRefused += job.EndsRefused
		totals.ItemsFinished += job.ItemsFinished
	}
	return totals
}

// labelsByCount returns the labels, the most frequent first.
func labelsByCount(counted map[string]int) []string {
	return slices.SortedFunc(maps.Keys(counted), func(a, b string) int {
		return cmp.Or(cmp.Compare(counted[b], counted[a]), cmp.Compare(a, b))
	})
}
