package live

import (
	"sync"
)

// Summary counts the outcomes of a load.
type Summary struct {
	Requests int `json:"requests"`
	OK       int `json:"ok"`
	// Refused counts error responses for requests that were not executed.
	Refused int `json:"refused"`
	// Failed counts all other calls without a complete and valid response.
	Failed int `json:"failed"`
	// Invalid counts responses that violate an invariant (see Outcome.Invalid).
	Invalid          int            `json:"broken"`
	Codes            map[string]int `json:"codes"`
	CachedTokens     int            `json:"cached_tokens"`
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TimeToFirstToken Quantiles      `json:"time_to_first_token"`
	Latency          Quantiles      `json:"latency"`
}

// Recorder records the outcomes of a load. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	outcomes   []Outcome
	firstToken *Histogram
	latency    *Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{firstToken: NewHistogram(), latency: NewHistogram()}
}

// Add records one outcome.
func (r *Recorder) Add(outcome Outcome) {
	if outcome.OK() {
		r.firstToken.Record(outcome.TimeToFirstToken)
		r.latency.Record(outcome.Latency)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// Outcomes returns a copy of the recorded outcomes in the order of Add.
func (r *Recorder) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Outcome(nil), r.outcomes...)
}

// Summary summarizes the outcomes recorded so far.
func (r *Recorder) Summary() Summary {
	summary := Summary{
		Codes:            map[string]int{},
		TimeToFirstToken: r.firstToken.Quantiles(),
		Latency:          r.latency.Quantiles(),
	}
	for _, outcome := range r.Outcomes() {
		summary.add(&outcome)
	}
	return summary
}

// codeTransport is the key in Summary.Codes for calls that failed with a TransportError.
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
	if outcome.Invalid() {
		s.Invalid++
	}
	if outcome.Usage != nil {
		s.CachedTokens += outcome.Usage.CachedTokens
		s.PromptTokens += outcome.Usage.PromptTokens
		s.CompletionTokens += outcome.Usage.CompletionTokens
	}
}
