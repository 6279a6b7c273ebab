package coordinator

import (
	"github.com/corkpulley/corkpulley/internal/api"
)

// Call is a trainer API call forwarded to the ledger's owner
// (peer.MethodTrainer). Exactly one of the pointers is set.
type Call struct {
	Trainer     string            `msgpack:"t"`
	Submit      *SubmitCall       `msgpack:"s,omitempty"`
	Status      *StatusCall       `msgpack:"g,omitempty"`
	Fetch       *api.FetchRequest `msgpack:"f,omitempty"`
	Acknowledge *api.AckRequest   `msgpack:"a,omitempty"`
	Abandon     *AbandonCall      `msgpack:"x,omitempty"`
}

// AbandonCall requests that a step be abandoned.
type AbandonCall struct {
	Step string `msgpack:"s"`
}

// SubmitCall requests that a step be submitted.
type SubmitCall struct {
	Step    string          `msgpack:"s"`
	Request api.StepRequest `msgpack:"r"`
}

// StatusCall requests the status of a step.
type StatusCall struct {
	Step string `msgpack:"s"`
}

// Response is the response to a Call; the pointer that matches the kind of call is set.
type Response struct {
	Status      *api.StepStatus    `msgpack:"g,omitempty"`
	Fetch       *api.FetchResponse `msgpack:"f,omitempty"`
	Acknowledge *api.AckResponse   `msgpack:"a,omitempty"`
}

// StatusList is the response to peer.MethodStepStatus.
type StatusList struct {
	Steps []api.StepStatus `msgpack:"s"`
}
