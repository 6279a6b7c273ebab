// Package membership is a failure detector in the manner of SWIM with
// Lifeguard's local health, as a pure state machine: ticks and messages go in,
// messages and changes come out through Ready. It does no I/O, reads no clock
// and starts no goroutine; equal inputs give equal outputs.
//
// Order of what is said about one node: a higher incarnation wins; within an
// incarnation the greater writer, then the worse state. Only the node itself
// raises its incarnation, so a suspicion or death that is false is refuted by
// the node, and what is said of an older incarnation never revives it.
package membership

// State is what is believed of a node. A worse state has a greater number.
type State uint8

// Node states; sent between processes, never renumber.
const (
	Alive State = iota + 1
	Suspect
	Dead
)

// String returns the name of the state for logs.
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

// Update is what is said about one node.
type Update struct {
	ID string `msgpack:"i"`
	// Writer names the process start behind the ID.
	Writer  string `msgpack:"w"`
	Address string `msgpack:"a"`
	// Incarnation is raised by the node itself only.
	Incarnation uint64 `msgpack:"n"`
	State       State  `msgpack:"s"`
	// Leaving is set by the node itself: a planned stop. Dead and Leaving
	// together mean that it left by plan.
	Leaving bool `msgpack:"l,omitempty"`
	// By is the node that first held the suspicion, for counting independent ones.
	By string `msgpack:"b,omitempty"`
}

// supersedes reports whether u is news to one who believes current.
func (u Update) supersedes(current Update) bool {
	if u.Incarnation != current.Incarnation {
		return u.Incarnation > current.Incarnation
	}
	if u.Writer != current.Writer {
		return u.Writer > current.Writer
	}
	return u.State > current.State
}

// valid reports whether the update can be used at all.
func (u Update) valid() bool {
	return u.ID != "" && u.Address != "" && u.State >= Alive && u.State <= Dead
}

// Kind is the kind of a Message.
type Kind uint8

// Message kinds; sent between processes, never renumber.
const (
	// Ping asks To for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or comes back through a relay.
	Ack
	// PingRequest asks To to ping Target for From.
	PingRequest
)

// Message goes between two nodes. From and To are node IDs.
type Message struct {
	Kind     Kind   `msgpack:"k"`
	From     string `msgpack:"f"`
	To       string `msgpack:"t"`
	Sequence uint64 `msgpack:"q"`
	// Origin is the node whose probe this is, when it is relayed.
	Origin string `msgpack:"o,omitempty"`
	// Target is the probed node of a PingRequest and of a relayed Ack, and
	// TargetAddress its address.
	Target        string `msgpack:"g,omitempty"`
	TargetAddress string `msgpack:"h,omitempty"`
	// Updates are at most Config.MaxUpdates+2.
	Updates []Update `msgpack:"u,omitempty"`
	// ToAddress is where to send it; not sent itself.
	ToAddress string `msgpack:"-"`
}

// Ready is what the state machine wants done.
type Ready struct {
	Messages []Message
	// Changes are the nodes of which something else is believed than before,
	// this one included.
	Changes []Update
}
