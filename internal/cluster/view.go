// Package cluster runs membership on the peer transport: failure detection
// inside the zone, digests of cells and owned streams, and contacts in other zones.
package cluster

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// MemberState is the state of a node as this node sees it.
type MemberState string

// Member states.
const (
	StateAlive   MemberState = "alive"
	StateSuspect MemberState = "suspect"
	StateLeaving MemberState = "leaving" // announced a planned stop; takes no new work
	StateDead    MemberState = "dead"
)

// Member is one node as this node sees it.
type Member struct {
	// ID is the node's configured name; Writer identifies its process start.
	ID      string      `json:"id"`
	Writer  string      `json:"writer"`
	Address string      `json:"address"` // peer address
	Zone    string      `json:"zone"`
	State   MemberState `json:"state"`
	// TableRevision is the revision in force there when last heard.
	TableRevision int64 `json:"table_revision"`
	// Owned lists the streams (ledgers, models) it owns, with their epochs.
	Owned []Ownership `json:"owned,omitempty"`
}

// Ownership is one stream that a node owns under an epoch.
type Ownership struct {
	Stream string `msgpack:"s" json:"stream"`
	Epoch  int64  `msgpack:"e" json:"epoch"`
}

// View is what the other parts of a node read of the cluster. Views are soft:
// they speed things up and never decide a promise. The returned slices and what
// their elements point to are shared and must not be changed: a deployment has
// hundreds of members, and every role looks at them several times a second.
type View interface {
	Self() Member
	// Members returns all known nodes that are not dead, this one included,
	// sorted by ID; other zones' nodes are included as far as they are known.
	Members() []Member
	// Candidates returns the nodes of a zone that may take new work (alive or
	// suspect), sorted by ID; the empty zone means every zone.
	Candidates(zone string) []Member
	// Owner returns the member that last announced ownership of the stream
	// with the highest epoch.
	Owner(stream string) (Member, int64, bool)
	// Cells returns the freshest digest of each known cell, all zones.
	Cells() []message.CellDigest
	// Reachability counts the nodes that this node can hear now, itself
	// included, and those it knew of in the last ten minutes and that did not
	// leave by plan; nodes of other zones count as their zones' digests tell.
	Reachability() (reachable, known int)
	// LogContact returns when the freshest reachable node, this one included,
	// last read to the end of the config stream (local clock, ages added up).
	LogContact() time.Time
}

// Announcer is what the other parts of a node tell the cluster.
type Announcer interface {
	AnnounceOwned(owned []Ownership)
	// AnnounceCell tells the state of a cell that this node dispatches, with a
	// risen Sequence. Announce each cell at least every ten seconds, changed
	// or not: after fifteen it no longer counts as this node's.
	AnnounceCell(digest message.CellDigest)
	// ObserveCell feeds a digest learnt on the data path.
	ObserveCell(digest message.CellDigest)
	AnnounceTableRevision(revision int64)
	// AnnounceLogContact tells when this node last read to the end of the
	// config stream.
	AnnounceLogContact(at time.Time)
	// AnnounceLeaving tells the others that this node takes no new work.
	AnnounceLeaving()
}

// EngineMachine is one engine of the machine list, as spread in the cluster.
type EngineMachine struct {
	ID      string `msgpack:"i" json:"id"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	Pool    string `msgpack:"p" json:"pool"`
	Leaving bool   `msgpack:"l,omitempty" json:"leaving,omitempty"`
}

// EngineList is the lagging list of engines; the last good list stays in use
// while the platform's list is down.
type EngineList interface {
	Engines(zone string) []EngineMachine
}
