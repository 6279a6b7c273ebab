// Package peer implements the RPC transport between corkpulley processes: msgpack frames over TCP. Each
// process dials at most one connection to a peer address and multiplexes calls and streams over it.
package peer

import (
	"context"
)

// Method identifies the operation of a call or stream.
type Method string

// Methods of the peer protocol.
const (
	MethodProbe         Method = "probe"          // cluster: direct probe, call
	MethodProbeIndirect Method = "probe-indirect" // cluster: indirect probe through another node, call
	MethodGossip        Method = "gossip"         // cluster: exchange of members, node records and engine lists, call
	MethodTable         Method = "table"          // tables: rows changed since a revision, call
	MethodSubmit        Method = "submit"         // dispatcher: message.Submit, stream of message.Progress
	MethodDirective     Method = "directive"      // dispatcher: message.Directive, call
	MethodKeyed         Method = "keyed"          // keyed: request with an idempotency key, to its owner, stream
	MethodTrainer       Method = "trainer"        // coordinator: trainer API call to the owner of the ledger, call
	MethodCellStatus    Method = "cell-status"    // dispatcher: status of its cells and engines, call
	MethodStepStatus    Method = "step-status"    // coordinator: status of its ledgers, call
)

// Request is an incoming call or stream.
type Request interface {
	// From returns the node ID of the sender.
	From() string
	// Decode decodes the request message into the pointer message.
	Decode(message any) error
}

// CallHandler handles a call. A returned error is sent to the caller as *errkind.Error.
type CallHandler func(ctx context.Context, request Request) (response any, err error)

// Sender sends the messages of a response stream. Send blocks while the flow-control window of the receiver
// is full, and fails after the stream was closed.
type Sender interface {
	Send(message any) error
}

// StreamHandler handles a stream. ctx ends when the caller closes the stream or its connection breaks. The
// stream ends successfully when the handler returns nil.
type StreamHandler func(ctx context.Context, request Request, sender Sender) error

// Stream is the caller's end of a response stream. Receive returns io.EOF at the successful end,
// *errkind.Error if the handler failed, and *DeliveryError if the transport failed.
type Stream interface {
	Receive(message any) error
	// Close cancels the context of the handler if it is still running.
	Close()
}

// Registry registers handlers before the transport starts.
type Registry interface {
	HandleCall(method Method, handler CallHandler)
	HandleStream(method Method, handler StreamHandler)
}

// Caller makes calls and opens streams to the peer address ("ip:port") of a node. Requests to the local address
// are handled in-process. Errors are *errkind.Error from the handler or *DeliveryError from the transport.
type Caller interface {
	Call(ctx context.Context, address string, method Method, request, response any) error
	OpenStream(ctx context.Context, address string, method Method, request any) (Stream, error)
}

// DeliveryError is a failure of the transport.
type DeliveryError struct {
	// Sent is false if no byte of the request left this process, so that the peer cannot have received it.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *DeliveryError) Error() string { return "peer delivery failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DeliveryError) Unwrap() error { return e.Err }
