package weights

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// target is what the table wants of one model.
type target struct {
	// version is pinned when not policy.VersionLatest.
	version uint64
	rows    []policy.Row
}

// pinned reports whether the table names the version, rather than the latest.
func (t target) pinned() bool { return t.version != policy.VersionLatest }

// placed counts the engines of a cell that need no load. A pinned version has
// to be met exactly, since operators pin a lower one to go back; an engine above
// the latest version known here has heard of a later one.
func (t target) placed(result message.DirectiveResult) int {
	if t.pinned() {
		return result.AtVersion
	}
	return result.AtLeast
}

// misplaced reports whether the digest, which may lag, counts an engine that
// needs a load. It only calls for a directive: what the cell answers decides.
func (t target) misplaced(digest message.CellDigest, model string, version uint64) bool {
	return slices.ContainsFunc(digest.Models, func(count message.ModelCount) bool {
		above := t.pinned() && count.Version > version
		return count.Model == model && count.Engines > 0 && (count.Version < version || above)
	})
}

// targets groups the rows of the table by model. Rows of one model that pin
// different versions are a mistake in the table: the highest one counts, since
// an engine at a higher version also serves those that ask for less.
func targets(table *policy.Table, logger zerolog.Logger) map[string]target {
	wanted := make(map[string]target)
	for _, row := range table.Rows {
		if row.Model == "" {
			continue
		}
		current, found := wanted[row.Model]
		if found && current.version != row.Version {
			logger.Warn().Str("model", row.Model).Str("service", row.Service).
				Uint64("version", row.Version).Uint64("other_version", current.version).
				Msg("rows of one model want different versions")
		}
		if !found || higher(row.Version, current.version) {
			current.version = row.Version
		}
		current.rows = append(current.rows, row)
		wanted[row.Model] = current
	}
	return wanted
}

// higher reports whether version a lies above b; the latest lies above all.
func higher(a, b uint64) bool {
	if b == policy.VersionLatest {
		return false
	}
	return a == policy.VersionLatest || a > b
}

// floor returns the largest floor of the rows that use the cell, in percent,
// and whether there is such a row.
func (t target) floor(cell message.CellID) (percent int, used bool) {
	for _, row := range t.rows {
		if row.Pool != cell.Pool || !allowsZone(row, cell.Zone) {
			continue
		}
		used = true
		percent = max(percent, row.Floor)
	}
	return percent, used
}

func allowsZone(row policy.Row, zone string) bool {
	return len(row.Zones) == 0 || slices.Contains(row.Zones, zone)
}

// ownershipsLocked lists what is owned, sorted by stream; mu is held.
func (c *Coordinator) ownershipsLocked() []cluster.Ownership {
	owned := make([]cluster.Ownership, 0, len(c.owned))
	for model, epoch := range c.owned {
		owned = append(owned, cluster.Ownership{Stream: StreamName(model), Epoch: epoch})
	}
	slices.SortFunc(owned, func(a, b cluster.Ownership) int { return cmp.Compare(a.Stream, b.Stream) })
	return owned
}
