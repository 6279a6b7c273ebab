package coordinator

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/ledger"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// writerSeparator separates the process's writer ID from the stream's number in the
// writer ID of a record.
const writerSeparator = "~"

// preferredOwner returns the node that should own the trainer's ledger, by
// rendezvous hashing over the candidates of the row's first zone that has any, or
// over those of all zones if none of the row's zones has any.
func preferredOwner(view cluster.View, row policy.Row) (cluster.Member, bool) {
	candidates := zoneCandidates(view, row.Zones)
	if len(candidates) == 0 {
		return cluster.Member{}, false
	}
	ids := make([]string, 0, len(candidates))
	for _, member := range candidates {
		ids = append(ids, member.ID)
	}
	owner := rendezvous.New(ids, xxhash.Sum64String).Lookup(ledger.StreamName(row.Service))
	index := slices.Index(ids, owner)
	return candidates[index], true
}

func zoneCandidates(view cluster.View, zones []string) []cluster.Member {
	for _, zone := range zones {
		if candidates := view.Candidates(zone); len(candidates) > 0 {
			return candidates
		}
	}
	return view.Candidates("")
}

// ownerUnavailable reports whether the fence's owner appears unavailable: it is not a
// known member, is dead or leaving, or has restarted. A wrong result only causes
// duplicate work; the fence ensures correctness.
func ownerUnavailable(view cluster.View, fence logrecord.Fence) bool {
	if !fence.Owned() {
		return true
	}
	for _, member := range view.Members() {
		if member.ID == fence.Owner {
			return !stillOwns(member, fence.Writer)
		}
	}
	return true
}

func stillOwns(member cluster.Member, writer string) bool {
	if member.State == cluster.StateDead || member.State == cluster.StateLeaving {
		return false
	}
	process, _, _ := strings.Cut(writer, writerSeparator)
	return member.Writer == "" || member.Writer == process
}
