// Package machines defines the interface to the platform's eventually consistent list of live and leaving
// machines, and its HTTP client.
//
// Endpoints: GET /v1/machines responds with a List; PUT /v1/machines/{id} (Machine) and DELETE /v1/machines/{id}
// change the list.
package machines

import "context"

// Role is the kind of process that runs on a machine.
type Role string

const (
	RoleNode   Role = "node"
	RoleEngine Role = "engine"
)

// State is the state of a machine in the list.
type State string

const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is the engine's API address or the node's peer address ("ip:port").
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	// Pool is the engine pool; empty for nodes.
	Pool  string `json:"pool,omitempty"`
	State State  `json:"state"`
}

// List is the complete list, which may be out of date.
type List struct {
	Machines []Machine `json:"machines"`
}

// Source returns the list of machines.
type Source interface {
	List(ctx context.Context) (List, error)
}
