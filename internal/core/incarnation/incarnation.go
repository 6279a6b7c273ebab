// Package incarnation names engines from one start to the next: what was known of one is void once it
// has started again.
package incarnation

import "strconv"

// ID names an engine between one start and its end. An engine may start again under the ID that it had; it then
// holds and knows nothing of before, so what is believed of an engine is kept by its incarnation
// and goes with it.
type ID struct {
	// Engine is the engine's ID as it stands in the engine list.
	Engine string
	// Born is when the engine started, in milliseconds since 1970 by its own clock; zero where
	// it does not tell.
	Born int64
}

// IsZero tells whether no engine is named.
func (i ID) IsZero() bool { return i == ID{} }

// String is the incarnation as it stands in logs and records: "engine@born", or the engine's ID
// alone where it does not tell when it started.
func (i ID) String() string {
	if i.Born == 0 {
		return i.Engine
	}
	return i.Engine + "@" + strconv.FormatInt(i.Born, 10)
}

// Contradicts tells whether two names cannot be of the same incarnation. One that does not tell when it
// began contradicts none of its engine.
func (i ID) Contradicts(other ID) bool {
	if i.Engine != other.Engine {
		return true
	}
	return i.Born != 0 && other.Born != 0 && i.Born != other.Born
}
