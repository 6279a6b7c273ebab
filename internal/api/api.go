// Package api defines the JSON bodies of corkpulley's HTTP interfaces for
// callers, trainers and operators.
package api

import "github.com/corkpulley/corkpulley/internal/core/policy"

// Headers of the caller interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	// HeaderExecuted states on every error whether the request ran: no, yes or unknown.
	HeaderExecuted = "X-Corkpulley-Executed"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model       string   `json:"model"` // name of the service
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stream      bool     `json:"stream,omitempty"`
	// User is accepted and ignored.
	User string `json:"user,omitempty"`
}

// VersionSpan is the weight version that generated tokens [From, To).
type VersionSpan struct {
	Version uint64 `json:"version" msgpack:"v"`
	From    int    `json:"from" msgpack:"f"`
	To      int    `json:"to" msgpack:"t"`
}

// CompletionChoice is one generated completion. There is always exactly one.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Completion is the response body, and the body of each SSE event of a streamed
// response (which ends with "data: [DONE]"). The last event has Usage and Versions.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"` // "text_completion"
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
	// Versions are the weight versions that generated the tokens of this body.
	Versions []VersionSpan `json:"weight_versions,omitempty"`
}

// ErrorBody is the body of every error response and of an SSE error event.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error.
type ErrorDetail struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Executed  string `json:"executed"` // "no", "yes", "unknown"
	Retryable bool   `json:"retryable"`
	// RetryAfterMS is the suggested delay before a retry; also sent as Retry-After in seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Conflicts lists the rows changed concurrently; set with code table_conflict.
	Conflicts []policy.RowChange `json:"conflicts,omitempty"`
	// Problems lists all validation errors of a table; set with code table_invalid.
	Problems []policy.Problem `json:"problems,omitempty"`
}

// StepRequest is the body of PUT /v1/trainers/{trainer}/steps/{step}. It is
// idempotent; a different body for the same step is rejected with step_mismatch.
type StepRequest struct {
	Prompts []StepPrompt `json:"prompts"`
	// SamplesPerPrompt is the number of samples to generate for each prompt, 1..1024.
	SamplesPerPrompt int     `json:"samples_per_prompt"`
	MaxTokens        int     `json:"max_tokens"`
	Temperature      float64 `json:"temperature,omitempty"`
	Seed             int64   `json:"seed,omitempty"`
	// TrainerVersion is the trainer's current weight version, from 1.
	TrainerVersion uint64 `json:"trainer_version"`
}

// StepPrompt is one prompt of a step.
type StepPrompt struct {
	// Group identifies prompts with similar output lengths, for predicting lengths; optional.
	Group string `json:"group,omitempty"`
	Text  string `json:"text"`
}

// StepStatus is the response to PUT, GET and DELETE of a step. Unless the step
// is abandoned, Wanted is the sum of Open, Filled and Acknowledged.
type StepStatus struct {
	Trainer      string `json:"trainer"`
	Step         string `json:"step"`
	Wanted       int    `json:"wanted"` // samples requested
	Open         int    `json:"open"`   // samples still to be generated and recorded
	Filled       int    `json:"filled"` // samples recorded, not yet acknowledged
	Acknowledged int    `json:"acknowledged"`
	Discarded    int    `json:"discarded"` // samples discarded as stale so far
	Done         bool   `json:"done"`      // all wanted samples acknowledged
	// Abandoned is true once the trainer canceled the step; its samples are no
	// longer generated or delivered.
	Abandoned bool `json:"abandoned,omitempty"`
	// Owner is the ID of the node that coordinates the trainer's steps; Epoch
	// identifies its term of ownership.
	Owner string `json:"owner,omitempty"`
	Epoch int64  `json:"epoch,omitempty"`
}

// FetchRequest is the body of POST /v1/trainers/{trainer}/fetch (long poll).
type FetchRequest struct {
	// Step limits the fetch to one step; empty for any.
	Step string `json:"step,omitempty"`
	// TrainerVersion is the trainer's current weight version, from 1.
	TrainerVersion uint64 `json:"trainer_version"`
	// Holding lists IDs of unacknowledged samples that the trainer already has;
	// they are not sent again.
	Holding []string `json:"holding,omitempty"`
	Max     int      `json:"max,omitempty"`     // samples at once, default DefaultFetchMax
	WaitMS  int64    `json:"wait_ms,omitempty"` // default DefaultFetchWaitMS, at most 60000
}

// Defaults of FetchRequest.Max (samples) and FetchRequest.WaitMS (milliseconds).
const (
	DefaultFetchMax    = 64
	DefaultFetchWaitMS = 10_000
)

// FetchResponse contains samples and the token to acknowledge them with. A later
// fetch that delivers a sample again supersedes the earlier token for it.
type FetchResponse struct {
	Token   int64    `json:"token"`
	Samples []Sample `json:"samples"`
	// Steps are the states of the requested steps.
	Steps []StepStatus `json:"steps,omitempty"`
}

// Sample is one finished, scored sample.
type Sample struct {
	// ID is unique for the step, slot and attempt.
	ID     string  `json:"id"`
	Step   string  `json:"step"`
	Prompt int     `json:"prompt"` // index in StepRequest.Prompts
	Index  int     `json:"index"`  // 0..SamplesPerPrompt-1
	Text   string  `json:"text"`
	Tokens int     `json:"tokens"`
	Score  float64 `json:"score"`
	// Versions covers [0, Tokens) without gaps.
	Versions     []VersionSpan `json:"weight_versions"`
	FinishReason string        `json:"finish_reason"`
}

// AckRequest is the body of POST /v1/trainers/{trainer}/ack. It is idempotent.
type AckRequest struct {
	Token          int64    `json:"token"`
	Samples        []string `json:"samples"`
	TrainerVersion uint64   `json:"trainer_version"`
}

// AckResponse lists the samples that are now delivered. A trainer may use a
// sample only once it is in Accepted. Rejected samples were superseded or became
// stale; replacements are generated.
type AckResponse struct {
	Accepted []string `json:"accepted"`
	Rejected []string `json:"rejected,omitempty"`
}

// TableProposal is the body of POST /v1/table.
type TableProposal struct {
	// BaseRevision is the revision that the edit is based on.
	BaseRevision int64  `json:"base_revision"`
	CSV          string `json:"csv"`
	Operator     string `json:"operator,omitempty"`
	// ProposalID identifies the edit, so that a repeated call has no further effect.
	ProposalID string `json:"proposal_id"`
}

// TableAccepted is the response to an accepted proposal.
type TableAccepted struct {
	Revision int64              `json:"revision"`
	Changes  []policy.RowChange `json:"changes"`
}

// TableDocument is the response to GET /v1/table.
type TableDocument struct {
	policy.Table
	CSV string `json:"csv"`
}

// HistoryEntry is one accepted revision in the response to GET /v1/table/history.
type HistoryEntry struct {
	Revision int64              `json:"revision"`
	Base     int64              `json:"base"`
	Operator string             `json:"operator"`
	UnixMS   int64              `json:"unix_ms"`
	Changes  []policy.RowChange `json:"changes"`
}

// NodeStatus is one node in the responses to GET /v1/status and GET /v1/nodes.
type NodeStatus struct {
	ID            string        `json:"id"`
	Zone          string        `json:"zone"`
	Address       string        `json:"address"`
	State         string        `json:"state"`
	TableRevision int64         `json:"table_revision"`
	Owned         []OwnedStream `json:"owned,omitempty"`
}

// OwnedStream is a stream owned by a node.
type OwnedStream struct {
	Stream string `json:"stream"`
	Epoch  int64  `json:"epoch"`
}

// CellStatus is one cell, a group of engines of one pool and zone that share a
// queue, in the response to GET /v1/status.
type CellStatus struct {
	Zone    string `json:"zone"`
	Pool    string `json:"pool"`
	Index   int    `json:"index"`
	Node    string `json:"node"`
	Engines int    `json:"engines"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
}

// EngineStatus is one engine in the response to GET /v1/engines, which lists the
// engines of the node's own cells, or all with ?scope=all.
type EngineStatus struct {
	ID       string            `json:"id"`
	Address  string            `json:"address"`
	Zone     string            `json:"zone"`
	Pool     string            `json:"pool"`
	State    string            `json:"state"` // serving, draining, broken, leaving, unreachable
	Models   map[string]uint64 `json:"models"`
	InFlight int               `json:"in_flight"`
	Node     string            `json:"node"` // node that dispatches to the engine
}

// Status is the response to GET /v1/status.
type Status struct {
	Node          NodeStatus `json:"node"`
	Ready         bool       `json:"ready"`
	NotReadyCause string     `json:"not_ready_cause,omitempty"`
	// TableRevision is omitted until the node has loaded the latest revision.
	TableRevision int64        `json:"table_revision,omitempty"`
	LogReachable  bool         `json:"log_reachable"`
	Members       []NodeStatus `json:"members"`
	Cells         []CellStatus `json:"cells"`
	Steps         []StepStatus `json:"steps"`
}

// Zones is a node's view of the zones with engines.
type Zones struct {
	Node string `json:"node"`
	// Leading is true while the node runs items of batch jobs.
	Leading bool `json:"leading"`
	// AgeMS is the age of the node's information about evacuations, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// ExcludedServices are the services whose engines this node does not track; the counts exclude them.
	ExcludedServices []string     `json:"left_out,omitempty"`
	Zones            []ZoneStatus `json:"zones"`
}

// ZoneStatus is a node's view of one zone.
type ZoneStatus struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	// Since is when the latest start or end of an evacuation took effect on this node; Offset is that of its
	// record in the log. Both are omitted if the zone was never evacuated.
	Since  string `json:"since,omitempty"`
	Offset int64  `json:"offset,omitempty"`
	// Engines is the number of engines in the zone; zero for an unknown zone.
	Engines int `json:"engines"`
	// InFlight is the number of this node's requests in flight at these engines. Items is how many of them are
	// items of batch jobs, which only a leading node runs.
	InFlight int `json:"in_flight"`
	Items    int `json:"items"`
}

// EvacuationAccepted is the response to the start or end of a zone's evacuation,
// sent once the log has stored it.
type EvacuationAccepted struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}
