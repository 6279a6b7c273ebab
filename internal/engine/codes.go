package engine

// Codes of a Refusal.
const (
	CodeDraining      = "draining"
	CodeOverloaded    = "overloaded"
	CodeBroken        = "broken"
	CodeVersion       = "version"
	CodeUnknownStream = "unknown_stream"
	CodeStaleFence    = "stale_fence"
	CodeInvalid       = "invalid"
	// CodeUnknownModel: the engine does not hold the model.
	CodeUnknownModel = "unknown_model"
)

// Kinds of an Order.
const (
	OrderLoad  = "load"
	OrderDrain = "drain"
	OrderServe = "serve"
)

// Reasons in Chunk.FinishReason.
const (
	FinishStop     = "stop"
	FinishLength   = "length"
	FinishCanceled = "canceled"
	FinishError    = "error"
)
