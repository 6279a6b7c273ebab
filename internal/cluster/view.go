// Package cluster maintains cluster membership over the peer transport: SWIM failure detection within the
// zone, gossip of cell digests and owned streams, and periodic pulls from other zones.
package cluster

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/message"
)

// MemberState is the state of a node as seen by the local node.
type MemberState string

// Member states.
const (
	StateAlive   MemberState = "alive"
	StateSuspect MemberState = "suspect"
	StateLeaving MemberState = "leaving" // announced a planned shutdown; accepts no new work
	StateDead    MemberState = "dead"
)

// Member describes a node as seen by the local node.
type Member struct {
	// ID is the node's configured name; Writer is unique for each start of its process.
	ID      string      `json:"id"`
	Writer  string      `json:"writer"`
	Address string      `json:"address"` // peer address
	Zone    string      `json:"zone"`
	State   MemberState `json:"state"`
	// TableRevision is the last known active table revision of the node.
	TableRevision int64 `json:"table_revision"`
	// Owned lists the streams (ledgers, models) that the node owns, with their epochs.
	Owned []Ownership `json:"owned,omitempty"`
}

// Ownership is a stream owned by a node, with the epoch under which it is owned.
type Ownership struct {
	Stream string `msgpack:"s" json:"stream"`
	Epoch  int64  `msgpack:"e" json:"epoch"`
}

// View provides read access to the cluster state. The state is eventually consistent: callers may use it as
// a hint, but must not rely on it for correctness. Returned slices and everything reachable from their
// elements are shared and must not be modified.
type View interface {
	Self() Member
	// Members returns all known nodes that are not dead, including the local node, sorted by ID. Nodes of
	// other zones are included as far as they are known.
	Members() []Member
	// Candidates returns the nodes of a zone that may accept new work (alive or suspect), sorted by ID. An
	// empty zone selects all zones.
	Candidates(zone string) []Member
	// Owner returns the member that announced ownership of the stream with the highest epoch.
	Owner(stream string) (Member, int64, bool)
	// Cells returns the most recent digest of each known cell in all zones.
	Cells() []message.CellDigest
	// Reachability counts the nodes currently reachable, including the local node, and the nodes known
	// within the last ten minutes that did not leave by a planned shutdown. The nodes of another zone count as
	// reachable if the zone responded recently.
	Reachability() (reachable, known int)
	// LogContact returns the most recent time, by the local clock, at which a reachable node (including the
	// local one) read the config stream to its end.
	LogContact() time.Time
}

// Announcer publishes the local state to the cluster.
type Announcer interface {
	// AnnounceOwnedStreams replaces the announced list of streams owned by this node.
	AnnounceOwnedStreams(owned []Ownership)
	// AnnounceCell publishes the state of a cell dispatched by this node, with an increased Sequence. Each
	// cell must be announced at least every 10 s, even if unchanged; after 15 s without an announcement it
	// is dropped.
	AnnounceCell(digest message.CellDigest)
	// ObserveCell records a digest received on the data path.
	ObserveCell(digest message.CellDigest)
	// AnnounceTableRevision publishes the active table revision of this node.
	AnnounceTableRevision(revision int64)
	// AnnounceLogContact publishes the time at which this node last read the config stream to its end.
	AnnounceLogContact(at time.Time)
	// AnnounceLeaving announces that this node accepts no new work.
	AnnounceLeaving()
}

// EngineMachine is an engine of the machine list, as distributed by gossip.
type EngineMachine struct {
	ID      string `msgpack:"i" json:"id"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	Pool    string `msgpack:"p" json:"pool"`
	Leaving bool   `msgpack:"l,omitempty" json:"leaving,omitempty"`
}

// EngineList provides the engines known from the machine list. While the platform's list is unavailable, the
// last list read successfully stays in use.
type EngineList interface {
	// Engines returns the engines of a zone, as far as they are known.
	Engines(zone string) []EngineMachine
}
