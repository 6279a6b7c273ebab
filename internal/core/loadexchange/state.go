package loadexchange

import (
	"maps"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

// maxAggregateAge is how long the merged entries are reused for further views. Merging the digests for each view would
// make the work of an exchange node grow with the square of the nodes of its zone.
const maxAggregateAge = 25 * time.Millisecond

// digest is the newest data of one node or zone. It replaces all earlier ones of its source: an engine that it doesn't
// name has no requests of the source.
type digest struct {
	at      time.Time
	entries []Entry
}

// supersedes reports whether a digest replaces another one of its source.
func (d digest) supersedes(other digest) bool {
	if !d.at.Equal(other.at) {
		return d.at.After(other.at)
	}
	return slices.CompareFunc(d.entries, other.entries, compareContent) < 0
}

// State is what an exchange node knows: the newest digest of each node of its zone, and of each other zone. The result
// of merging digests doesn't depend on their order, and merging one again changes nothing. It is not safe for
// concurrent use.
type State struct {
	nodes map[string]digest
	zones map[string]digest
	// merged holds the merged digests of nodes and zones; it is reused until mergedAt + maxAggregateAge. mergedNodes are
	// the digests of nodes that it contains.
	merged      map[incarnation.ID]*total
	mergedNodes map[string]digest
	mergedAt    time.Time
}

// total is the load at one engine over several sources.
type total struct {
	// entry holds the sum of the counts, and the time of the oldest of them.
	entry Entry
	// reporter is the source of the entry's report.
	reporter string
	// oldestFrom is the source of the oldest count; nextOldest is the time of the second oldest one.
	oldestFrom string
	nextOldest time.Time
}

// NewState returns an empty state.
func NewState() *State {
	return &State{nodes: make(map[string]digest), zones: make(map[string]digest)}
}

// MergeNode adds the digest of a node of the zone; at is when it was received.
func (s *State) MergeNode(node string, entries []Entry, at time.Time) {
	merge(s.nodes, node, entries, at)
}

// MergeZone adds the digest of another zone; at is when it was received.
func (s *State) MergeZone(zone string, entries []Entry, at time.Time) {
	merge(s.zones, zone, entries, at)
}

func merge(digests map[string]digest, source string, entries []Entry, at time.Time) {
	sorted := slices.SortedFunc(slices.Values(entries), compareContent)
	received := digest{at: at, entries: sorted}
	if known, found := digests[source]; !found || received.supersedes(known) {
		digests[source] = received
	}
}

// HasNodes reports whether a node of the zone sent a digest within the TTL.
func (s *State) HasNodes(now time.Time) bool {
	s.dropExpired(now)
	return len(s.nodes) > 0
}

// dropExpired drops the digests received before the TTL; all of their entries have expired.
func (s *State) dropExpired(now time.Time) {
	isExpired := func(_ string, each digest) bool { return !isFresh(each.at, now) }
	maps.DeleteFunc(s.nodes, isExpired)
	maps.DeleteFunc(s.zones, isExpired)
}

// ZoneEntries returns the load of the zone's own nodes, for other zones. What other zones sent is left out, so that no
// request counts twice.
func (s *State) ZoneEntries(now time.Time) []Entry {
	s.dropExpired(now)
	totals := make(map[incarnation.ID]*total)
	addDigests(totals, nodeSource, s.nodes, now)
	var entries []Entry
	for _, each := range totals {
		if entry, left := each.entry.withoutExpired(now); left {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, compareFullness)
	return entries
}

// View returns the load of all nodes but the given one at the engines of the services.
func (s *State) View(node string, services []string, now time.Time) []Entry {
	if s.merged == nil || now.Before(s.mergedAt) || now.Sub(s.mergedAt) >= maxAggregateAge {
		s.mergeAll(now)
	}
	own := s.ownCounts(node)
	var entries []Entry
	for id, each := range s.merged {
		if !slices.Contains(services, each.entry.Service) {
			continue
		}
		if entry, left := each.excluding(nodeSource+node, own[id]).withoutExpired(now); left {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, compareFullness)
	return entries
}

// mergeAll merges the digests. Entries that expire while the result is reused are left out: a sum can't be corrected
// later without going through all nodes for each view.
func (s *State) mergeAll(now time.Time) {
	s.dropExpired(now)
	s.merged, s.mergedNodes, s.mergedAt = make(map[incarnation.ID]*total), maps.Clone(s.nodes), now
	addDigests(s.merged, nodeSource, s.nodes, now.Add(maxAggregateAge))
	addDigests(s.merged, zoneSource, s.zones, now.Add(maxAggregateAge))
}

// ownCounts returns the requests of a node that are part of the merged entries.
func (s *State) ownCounts(node string) map[incarnation.ID]int {
	counts := make(map[incarnation.ID]int)
	for _, entry := range s.mergedNodes[node].entries {
		if entry.HasCount(s.mergedAt.Add(maxAggregateAge)) {
			counts[entry.Engine] += entry.InFlight
		}
	}
	return counts
}

// Prefixes of sources, which distinguish a node from a zone of the same name.
const (
	nodeSource = "node "
	zoneSource = "zone "
)

// addDigests adds the entries that have not expired at the given time.
func addDigests(totals map[incarnation.ID]*total, prefix string, digests map[string]digest, at time.Time) {
	for name, each := range digests {
		for _, entry := range each.entries {
			if fresh, left := entry.withoutExpired(at); left {
				addEntry(totals, prefix+name, fresh)
			}
		}
	}
}

func addEntry(totals map[incarnation.ID]*total, source string, entry Entry) {
	sum, found := totals[entry.Engine]
	if !found {
		sum = &total{entry: Entry{Engine: entry.Engine, Service: entry.Service}}
		totals[entry.Engine] = sum
	}
	sum.addCount(source, entry)
	// The smaller name decides between equal reports, and between services, so that the order has no effect.
	sum.entry.Service = min(sum.entry.Service, entry.Service)
	switch merged := sum.entry.moreRecentReport(entry); {
	case merged != sum.entry:
		sum.entry, sum.reporter = merged, source
	case sameReport(sum.entry, entry):
		sum.reporter = min(sum.reporter, source)
	}
}

func (t *total) addCount(source string, entry Entry) {
	if entry.InFlight == 0 {
		return
	}
	t.entry.InFlight += entry.InFlight
	switch {
	case t.entry.CountedAt.IsZero() || entry.CountedAt.Before(t.entry.CountedAt):
		t.nextOldest, t.entry.CountedAt, t.oldestFrom = t.entry.CountedAt, entry.CountedAt, source
	case t.nextOldest.IsZero() || entry.CountedAt.Before(t.nextOldest):
		t.nextOldest = entry.CountedAt
	}
}

// excluding returns the total without one source, which counted ownCount requests. The source's own report is left out
// too, since the source has it.
func (t *total) excluding(source string, ownCount int) Entry {
	entry := t.entry
	if t.reporter == source {
		entry.Running, entry.Waiting, entry.ReportedAt = 0, 0, time.Time{}
	}
	entry.InFlight -= ownCount
	switch {
	case entry.InFlight == 0:
		entry.CountedAt = time.Time{}
	case t.oldestFrom == source:
		entry.CountedAt = t.nextOldest
	}
	return entry
}
