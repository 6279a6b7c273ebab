package coordinator

import (
	"github.com/corkpulley/corkpulley/internal/api"
)

// Call is one trainer API call on its way to the ledger's owner
// (peer.MethodTrainer). Exactly one of the pointers is set.
type Call struct {
	Trainer     string            `msgpack:"t"`
	Submit      *SubmitCall       `msgpack:"s,omitempty"`
	Status      *StatusCall       `msgpack:"g,omitempty"`
	Fetch       *api.FetchRequest `msgpack:"f,omitempty"`
	Acknowledge *api.AckRequest   `msgpack:"a,omitempty"`
	Abandon     *AbandonCall      `msgpack:"x,omitempty"`
}

// AbandonCall abandons a step.
type AbandonCall struct {
	Step string `msgpack:"s"`
}

// SubmitCall submits a step.
type SubmitCall struct {
	Step    string          `msgpack:"s"`
	Request api.StepRequest `msgpack:"r"`
}

// StatusCall asks for the status of a step.
type StatusCall struct {
	Step string `msgpack:"s"`
}

// Answer answers a Call; the pointer that belongs to the call's kind is set.
type Answer struct {
	Status      *api.StepStatus    `msgpack:"g,omitempty"`
	Fetch       *api.FetchResponse `msgpack:"f,omitempty"`
	Acknowledge *api.AckResponse   `msgpack:"a,omitempty"`
}

// StatusList answers peer.MethodStepStatus.
type StatusList struct {
	Steps []api.StepStatus `msgpack:"s"`
}
