package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

// prefixKeyBlocks is the number of leading prompt blocks in a prefix key. More
// blocks would separate prompts that share only a preamble. Groups whose common
// prompt is longer share a cell with their neighbors, which costs little.
const prefixKeyBlocks = 4

// Query describes the requirements of a request on the cell that runs it.
type Query struct {
	Pool  string
	Model string
	// MinVersion is the lowest accepted version of Model; 0 accepts any loaded
	// version.
	MinVersion uint64
	// Zones that may run the request; empty means any.
	Zones []string
	// PrefixKey is equal for prompts that share their first blocks; 0 if the
	// prompt is too short for prefix affinity.
	PrefixKey uint64
	// Excluded holds the cells that must not be selected, such as those that
	// refused the request.
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
	blocks := min(len(prompt)/engine.PrefixBlockBytes, prefixKeyBlocks)
	if blocks == 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt[:blocks*engine.PrefixBlockBytes])
	return max(digest.Sum64(), 1)
}

func (q *Query) allowsZone(zone string) bool { return allowsZone(q.Zones, zone) }

// allowsZone reports whether zones contains the zone; an empty list allows any.
func allowsZone(zones []string, zone string) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}
