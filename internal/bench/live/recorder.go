package live

import (
	"sync"
)

// Summary counts the outcomes of a load.
type Summary struct {
	Requests int `json:"requests"`
	OK       int `json:"ok"`
	// Refused counts error answers that say that the request did not run.
	Refused int `json:"refused"`
	// Failed counts all other calls that were not answered whole.
	Failed int `json:"failed"`
	// Broken counts answers that break a promise; they are part of Failed.
	Broken           int            `json:"broken"`
	Codes            map[string]int `json:"codes"`
	CachedTokens     int            `json:"cached_tokens"`
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TimeToFirstToken Quantiles      `json:"time_to_first_token"`
	Latency          Quantiles      `json:"latency"`
}

// Recorder keeps the history of a load. It is safe for use by several goroutines.
type Recorder struct {
	mu       sync.Mutex
	outcomes []Outcome
	first    *Histogram
	latency  *Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{first: NewHistogram(), latency: NewHistogram()}
}

// Add records one outcome.
func (r *Recorder) Add(outcome Outcome) {
	if outcome.OK() {
		r.first.Record(outcome.TimeToFirstToken)
		r.latency.Record(outcome.Latency)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// Outcomes returns a copy of the history, in the order of the calls' ends.
func (r *Recorder) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Outcome(nil), r.outcomes...)
}

// Summary counts what was recorded so far.
func (r *Recorder) Summary() Summary {
	summary := Summary{
		Codes:            map[string]int{},
		TimeToFirstToken: r.first.Quantiles(),
		Latency:          r.latency.Quantiles(),
	}
	for _, outcome := range r.Outcomes() {
		summary.add(&outcome)
	}
	return summary
}

// codeTransport counts calls whose connection broke.
const codeTransport = "transport"

func (s *Summary) add(outcome *Outcome) {
	s.Requests++
	switch {
	case outcome.OK():
		s.OK++
	case outcome.Refused():
		s.Refused++
	default:
		s.Failed++
	}
	switch {
	case outcome.Code != "":
		s.Codes[outcome.Code]++
	case outcome.TransportError != "":
		s.Codes[codeTransport]++
	}
	if outcome.Broken() {
		s.Broken++
	}
	if outcome.Usage != nil {
		s.CachedTokens += outcome.Usage.CachedTokens
		s.PromptTokens += outcome.Usage.PromptTokens
		s.CompletionTokens += outcome.Usage.CompletionTokens
	}
}
