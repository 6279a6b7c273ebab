// Package incarnation identifies the incarnations of engines: an engine that restarts is a new incarnation
// without the state of the previous one.
package incarnation

import "strconv"

// ID identifies an incarnation of an engine. An engine may restart under the same engine ID, but without its earlier
// state, so what others record about it must be kept per incarnation.
type ID struct {
	// Engine is the engine's ID in the engine list.
	Engine string
	// StartMillis is the engine's start time in milliseconds since 1970 by its own clock; zero if not reported.
	StartMillis int64
}

// IsZero reports whether the ID is empty.
func (i ID) IsZero() bool { return i == ID{} }

// String returns the form used in logs and records: ENGINE@STARTMILLIS, or the engine's ID alone if its start
// time is not known.
func (i ID) String() string {
	if i.StartMillis == 0 {
		return i.Engine
	}
	return i.Engine + "@" + strconv.FormatInt(i.StartMillis, 10)
}

// Contradicts reports whether two IDs certainly identify different incarnations. An ID without a start time
// contradicts only IDs of other engines.
func (i ID) Contradicts(other ID) bool {
	if i.Engine != other.Engine {
		return true
	}
	return i.StartMillis != 0 && other.StartMillis != 0 && i.StartMillis != other.StartMillis
}
