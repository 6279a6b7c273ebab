// Package machines is the boundary to the platform's lagging list of live and
// leaving machines: wire types, a small interface and one HTTP adapter.
//
// Endpoints: GET /v1/machines answers List; PUT /v1/machines/{id} (Machine) and
// DELETE /v1/machines/{id} change the list (used by machines and tests).
package machines

import "context"

// Role tells what runs on a machine.
type Role string

// Machine roles.
const (
	RoleNode   Role = "node"
	RoleEngine Role = "engine"
)

// State of a machine in the list.
type State string

// Machine states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one line of the list.
type Machine struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Address is the engine's API address or the node's peer address ("ip:port").
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	// Pool is the engine pool of an engine; empty for nodes.
	Pool  string `json:"pool,omitempty"`
	State State  `json:"state"`
}

// List is the whole list as of some moment in the past.
type List struct {
	Machines []Machine `json:"machines"`
}

// Source is all that corkpulley asks of the list.
type Source interface {
	List(ctx context.Context) (List, error)
}
