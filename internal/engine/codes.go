package engine

// Values of Refusal.Code.
const (
	CodeDraining      = "draining"
	CodeOverloaded    = "overloaded"
	CodeBroken        = "broken"
	CodeVersionTooLow = "version" // the engine's version of the model is below MinVersion
	CodeUnknownStream = "unknown_stream"
	CodeStaleFence    = "stale_fence"
	CodeInvalid       = "invalid"
	CodeUnknownModel  = "unknown_model"
)

// Values of Order.Kind.
const (
	OrderLoad  = "load"
	OrderDrain = "drain"
	OrderServe = "serve"
)

// Values of Chunk.FinishReason.
const (
	FinishStop     = "stop"
	FinishLength   = "length"
	FinishCanceled = "canceled"
	FinishError    = "error"
)
