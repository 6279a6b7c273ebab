package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

// affinityBlocks is the number of whole prompt blocks that name a prefix
// group. Groups longer than that share a cell with their neighbours, which
// costs little; a larger number would part prompts that share only a preamble.
const affinityBlocks = 4

// Query is what one request asks of a cell.
type Query struct {
	Pool  string
	Model string
	// MinVersion of Model; 0 accepts any version that is loaded.
	MinVersion uint64
	// Zones that may run the request; empty means any.
	Zones []string
	// PrefixKey is the same for prompts that share their first blocks; 0 when
	// the prompt is too short for a prefix cache to matter.
	PrefixKey uint64
	// Excluded cells already refused the request.
	Excluded map[message.CellID]struct{}
}

// NewQuery returns the query for a request of the row's service.
func NewQuery(row policy.Row, minVersion uint64, prompt string) Query {
	return Query{
		Pool:       row.Pool,
		Model:      row.Model,
		MinVersion: minVersion,
		Zones:      row.Zones,
		PrefixKey:  PrefixKey(row.Model, prompt),
	}
}

// PrefixKey hashes the model and the prompt's first whole blocks. It returns 0
// for a prompt shorter than one block.
func PrefixKey(model, prompt string) uint64 {
	blocks := min(len(prompt)/engine.PrefixBlockBytes, affinityBlocks)
	if blocks == 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt[:blocks*engine.PrefixBlockBytes])
	return max(digest.Sum64(), 1)
}

// allowsZone reports whether the query's row lets the zone run it.
func (q *Query) allowsZone(zone string) bool { return allowsZone(q.Zones, zone) }

// allowsZone reports whether a list of zones holds the zone; the empty one
// holds any.
func allowsZone(zones []string, zone string) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}
