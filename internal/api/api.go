// Package api defines the JSON bodies of corkpulley's HTTP interfaces for
// callers, trainers and operators. The daemon, corkctl and corkbench share them.
package api

import "github.com/corkpulley/corkpulley/internal/core/policy"

// Headers of the callers' interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	// HeaderExecuted tells on every error whether the request ran: no, yes, unknown.
	HeaderExecuted = "X-Corkpulley-Executed"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model       string   `json:"model"` // the service's name
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens,omitempty"`
	Temperature *float64 `json:"temperature,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stream      bool     `json:"stream,omitempty"`
	// User is accepted and ignored.
	User string `json:"user,omitempty"`
}

// VersionSpan names the weight version that produced tokens [From, To).
type VersionSpan struct {
	Version uint64 `json:"version" msgpack:"v"`
	From    int    `json:"from" msgpack:"f"`
	To      int    `json:"to" msgpack:"t"`
}

// CompletionChoice is one answer (there is always exactly one).
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

// Completion is the whole answer, and the body of each SSE event of a streamed
// one (which ends with "data: [DONE]"). The last event carries Usage and Versions.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"` // "text_completion"
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
	// Versions names the weight versions of the tokens of this body.
	Versions []VersionSpan `json:"weight_versions,omitempty"`
}

// ErrorBody is the body of every error answer and of an SSE error event.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error.
type ErrorDetail struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Executed  string `json:"executed"` // "no", "yes", "unknown"
	Retryable bool   `json:"retryable"`
	// RetryAfterMS suggests a delay; also sent as Retry-After in seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Conflicts lists table rows changed by others, with code table_conflict.
	Conflicts []policy.RowChange `json:"conflicts,omitempty"`
	// Problems lists every mistake of a table, with code table_invalid.
	Problems []policy.Problem `json:"problems,omitempty"`
}

// StepRequest is the body of PUT /v1/trainers/{trainer}/steps/{step}: the
// same id with the same body is answered again, another body is refused (step_mismatch).
type StepRequest struct {
	Prompts []StepPrompt `json:"prompts"`
	// SamplesPerPrompt wanted, 1..1024.
	SamplesPerPrompt int     `json:"samples_per_prompt"`
	MaxTokens        int     `json:"max_tokens"`
	Temperature      float64 `json:"temperature,omitempty"`
	Seed             int64   `json:"seed,omitempty"`
	// TrainerVersion is the weight version that the trainer is at.
	TrainerVersion uint64 `json:"trainer_version"`
}

// StepPrompt is one prompt of a step.
type StepPrompt struct {
	// Group names prompts of the same kind, for learning lengths; optional.
	Group string `json:"group,omitempty"`
	Text  string `json:"text"`
}

// StepStatus answers a submitted step and GET of the same path.
type StepStatus struct {
	Trainer      string `json:"trainer"`
	Step         string `json:"step"`
	Wanted       int    `json:"wanted"`
	Open         int    `json:"open"`   // not yet filled
	Filled       int    `json:"filled"` // recorded, not yet acknowledged
	Acknowledged int    `json:"acknowledged"`
	Discarded    int    `json:"discarded"` // samples discarded as stale so far
	Done         bool   `json:"done"`      // all wanted samples acknowledged
	// Abandoned: the trainer gave the step up; nothing of it runs or is delivered.
	Abandoned bool   `json:"abandoned,omitempty"`
	Owner     string `json:"owner,omitempty"`
	Epoch     int64  `json:"epoch,omitempty"`
}

// FetchRequest is the body of POST /v1/trainers/{trainer}/fetch (long poll).
type FetchRequest struct {
	// Step limits the fetch to one step; empty for any.
	Step string `json:"step,omitempty"`
	// TrainerVersion is the weight version that the trainer is at now.
	TrainerVersion uint64 `json:"trainer_version"`
	// Holding lists sample IDs delivered before and not yet acknowledged that
	// the trainer still has; they are not sent again.
	Holding []string `json:"holding,omitempty"`
	Max     int      `json:"max,omitempty"`     // samples at once, default DefaultFetchMax
	WaitMS  int64    `json:"wait_ms,omitempty"` // default DefaultFetchWaitMS, at most 60000
}

// What a FetchRequest means when it leaves Max or WaitMS (milliseconds) out.
const (
	DefaultFetchMax    = 64
	DefaultFetchWaitMS = 10_000
)

// FetchResponse carries samples; a later fetch supersedes the token for those
// samples that it delivers again.
type FetchResponse struct {
	Token   int64    `json:"token"`
	Samples []Sample `json:"samples"`
	// Steps are the states of the steps asked for.
	Steps []StepStatus `json:"steps,omitempty"`
}

// Sample is one finished, scored sample.
type Sample struct {
	// ID is unique: step, slot and attempt.
	ID     string  `json:"id"`
	Step   string  `json:"step"`
	Prompt int     `json:"prompt"` // index in StepRequest.Prompts
	Index  int     `json:"index"`  // 0..SamplesPerPrompt-1
	Text   string  `json:"text"`
	Tokens int     `json:"tokens"`
	Score  float64 `json:"score"`
	// Versions covers [0, Tokens) without a gap.
	Versions     []VersionSpan `json:"weight_versions"`
	FinishReason string        `json:"finish_reason"`
}

// AckRequest is the body of POST /v1/trainers/{trainer}/ack. It may be repeated.
type AckRequest struct {
	Token          int64    `json:"token"`
	Samples        []string `json:"samples"`
	TrainerVersion uint64   `json:"trainer_version"`
}

// AckResponse tells which samples now count as delivered. A trainer uses a
// sample only once it stands in Accepted. Rejected ones were superseded or
// became stale; their slots are filled again.
type AckResponse struct {
	Accepted []string `json:"accepted"`
	Rejected []string `json:"rejected,omitempty"`
}

// TableProposal is the body of POST /v1/table.
type TableProposal struct {
	// BaseRevision is the revision that the edit started from.
	BaseRevision int64  `json:"base_revision"`
	CSV          string `json:"csv"`
	Operator     string `json:"operator,omitempty"`
	// ProposalID makes a repeated call harmless.
	ProposalID string `json:"proposal_id"`
}

// TableAccepted answers an accepted proposal.
type TableAccepted struct {
	Revision int64              `json:"revision"`
	Changes  []policy.RowChange `json:"changes"`
}

// TableDocument answers GET /v1/table.
type TableDocument struct {
	policy.Table
	CSV string `json:"csv"`
}

// HistoryEntry is one accepted revision; GET /v1/table/history answers a list.
type HistoryEntry struct {
	Revision int64              `json:"revision"`
	Base     int64              `json:"base"`
	Operator string             `json:"operator"`
	UnixMS   int64              `json:"unix_ms"`
	Changes  []policy.RowChange `json:"changes"`
}

// NodeStatus is one line of GET /v1/status.
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

// CellStatus is one cell of GET /v1/status.
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

// EngineStatus is one engine of GET /v1/engines (engines of the node's own cells, or all with ?scope=all).
type EngineStatus struct {
	ID       string            `json:"id"`
	Address  string            `json:"address"`
	Zone     string            `json:"zone"`
	Pool     string            `json:"pool"`
	State    string            `json:"state"` // serving, draining, broken, leaving, unreachable
	Models   map[string]uint64 `json:"models"`
	InFlight int               `json:"in_flight"`
	Node     string            `json:"node"`
}

// Status answers GET /v1/status.
type Status struct {
	Node          NodeStatus `json:"node"`
	Ready         bool       `json:"ready"`
	NotReadyCause string     `json:"not_ready_cause,omitempty"`
	// TableRevision is left out until the node has caught up with the table.
	TableRevision int64        `json:"table_revision,omitempty"`
	LogReachable  bool         `json:"log_reachable"`
	Members       []NodeStatus `json:"members"`
	Cells         []CellStatus `json:"cells"`
	Steps         []StepStatus `json:"steps"`
}

// Zones is one node's view of the zones that engines are in.
type Zones struct {
	Node string `json:"node"`
	// Leading is true while the node runs the items of batch jobs.
	Leading bool `json:"leading"`
	// AgeMs is how old the newest of what the node knows of evacuations is.
	AgeMs int64 `json:"age_ms"`
	// LeftOut are the services whose engines this node does not follow, which are missing in the counts.
	LeftOut []string     `json:"left_out,omitempty"`
	Zones   []ZoneStatus `json:"zones"`
}

// ZoneStatus is one zone as a node sees it.
type ZoneStatus struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	// Since is when the evacuation came into force at this node or was taken back there, and Offset the
	// place of its record in the log; both are absent where there never was one.
	Since  string `json:"since,omitempty"`
	Offset int64  `json:"offset,omitempty"`
	// Engines is the number of engines listed in the zone; zero for a zone that nobody knows.
	Engines int `json:"engines"`
	// InFlight is the number of this node's requests at them, and Items how many of these are items of
	// batch jobs, which only a leading node has.
	InFlight int `json:"in_flight"`
	Items    int `json:"items"`
}

// EvacuationAccepted is the answer to an order about a zone: the log has it.
type EvacuationAccepted struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}
