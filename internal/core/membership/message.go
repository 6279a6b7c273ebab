// Package membership implements group membership and failure detection by the SWIM protocol with the local
// health score of Lifeguard. It is a deterministic state machine: its inputs are ticks and messages, its outputs
// are the messages and changes that Ready returns. It does no I/O, reads no clock and starts no goroutines.
//
// Updates about a node are ordered by incarnation, then by writer, then by state; the greatest wins. Only the
// node itself raises its incarnation. It thereby refutes a false suspicion or death, and updates about an older
// incarnation have no effect.
package membership

// State is the state of a node as seen by another. A worse state has a greater value.
type State uint8

// Node states. Values are sent between processes: never renumber.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// String returns the name of the state, for logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Update is a gossiped statement about one node.
type Update struct {
	ID string `msgpack:"i"`
	// Writer identifies the process that uses the ID, and is unique for each start.
	Writer  string `msgpack:"w"`
	Address string `msgpack:"a"`
	// Incarnation is raised only by the node itself.
	Incarnation uint64 `msgpack:"n"`
	State       State  `msgpack:"s"`
	// Leaving is set by the node itself before a planned stop. A node that is Dead and Leaving has stopped as
	// planned.
	Leaving bool `msgpack:"l,omitempty"`
	// SuspectedBy is the node whose failed probe started the suspicion, to count independent suspicions.
	SuspectedBy string `msgpack:"b,omitempty"`
}

// supersedes reports whether u replaces current, an update about the same node.
func (u Update) supersedes(current Update) bool {
	if u.Incarnation != current.Incarnation {
		return u.Incarnation > current.Incarnation
	}
	if u.Writer != current.Writer {
		return u.Writer > current.Writer
	}
	return u.State > current.State
}

func (u Update) valid() bool {
	return u.ID != "" && u.Address != "" && u.State >= Alive && u.State <= Dead
}

// Kind is the kind of a Message.
type Kind uint8

// Message kinds. Values are sent between processes: never renumber.
const (
	// Ping requests an Ack from To.
	Ping Kind = iota + 1
	// Ack answers a Ping, directly or through a relay.
	Ack
	// PingRequest asks To to ping Target on behalf of From.
	PingRequest
)

// Message is a message between two nodes. From and To are node IDs.
type Message struct {
	Kind     Kind   `msgpack:"k"`
	From     string `msgpack:"f"`
	To       string `msgpack:"t"`
	Sequence uint64 `msgpack:"q"`
	// Origin is the node that started the probe, if relayed.
	Origin string `msgpack:"o,omitempty"`
	// Target is the probed node; empty in a Ping.
	Target string `msgpack:"g,omitempty"`
	// TargetAddress is the address of the Target of a PingRequest.
	TargetAddress string `msgpack:"h,omitempty"`
	// Updates holds at most Config.MaxUpdates+2 updates.
	Updates []Update `msgpack:"u,omitempty"`
	// ToAddress is the address of To. It is not part of the encoded message.
	ToAddress string `msgpack:"-"`
}

// Ready holds the outputs of the state machine.
type Ready struct {
	Messages []Message
	// Changes holds the new updates about nodes, including this one.
	Changes []Update
}
