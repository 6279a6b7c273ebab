// Package peer is the transport between corkpulley processes: msgpack frames
// over TCP, one connection for each direction of a pair, many calls and streams at once.
package peer

import (
	"context"
)

// Method names what a call or stream asks for.
type Method string

// The methods of the peer protocol.
const (
	MethodProbe         Method = "probe"          // cluster: direct probe, call
	MethodProbeIndirect Method = "probe-indirect" // cluster: probe through another, call
	MethodGossip        Method = "gossip"         // cluster: exchange of digests, call
	MethodTable         Method = "table"          // tables: rows changed since a revision, call
	MethodSubmit        Method = "submit"         // dispatcher: message.Submit, stream of message.Progress
	MethodDirective     Method = "directive"      // dispatcher: message.Directive, call
	MethodKeyed         Method = "keyed"          // gateway: keyed request at its shard's owner, stream
	MethodTrainer       Method = "trainer"        // coordinator: trainer API call at the ledger's owner, call
	MethodCellStatus    Method = "cell-status"    // dispatcher: status of its cells and engines, call
	MethodStepStatus    Method = "step-status"    // coordinator: status of its ledgers, call
)

// Request is one incoming call or stream.
type Request interface {
	// From is the sender's node ID.
	From() string
	// Decode decodes the request message into a pointer.
	Decode(message any) error
}

// CallHandler answers one call. A returned error travels as *errkind.Error.
type CallHandler func(ctx context.Context, request Request) (response any, err error)

// Sender sends the messages of an answer stream; Send blocks while the
// receiver's window is full and fails once the stream is closed.
type Sender interface {
	Send(message any) error
}

// StreamHandler answers one stream. ctx ends when the caller closes the stream
// or its connection breaks. The stream ends cleanly when it returns nil.
type StreamHandler func(ctx context.Context, request Request, sender Sender) error

// Stream is the caller's side of an answer stream. Receive returns io.EOF at
// the clean end, *errkind.Error when the handler failed, *DeliveryError when
// the transport did.
type Stream interface {
	Receive(message any) error
	// Close cancels the handler's context, if it still runs.
	Close()
}

// Registry takes handlers before the transport starts.
type Registry interface {
	HandleCall(method Method, handler CallHandler)
	HandleStream(method Method, handler StreamHandler)
}

// Caller sends calls and streams to the peer address ("ip:port") of a node;
// its own address is answered in-process. Errors are *errkind.Error from the
// handler or *DeliveryError from the transport.
type Caller interface {
	Call(ctx context.Context, address string, method Method, request, response any) error
	OpenStream(ctx context.Context, address string, method Method, request any) (Stream, error)
}

// DeliveryError is a failure of the transport.
type DeliveryError struct {
	// Sent is false when no byte of the request left this process, so that
	// the peer certainly did not see it.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (e *DeliveryError) Error() string { return "peer delivery failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DeliveryError) Unwrap() error { return e.Err }
