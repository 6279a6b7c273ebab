package weights

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
)

// target is the desired state of one model according to the table.
type target struct {
	// version is the pinned version, or policy.VersionLatest.
	version uint64
	rows    []policy.Row
}

// pinned reports whether the table pins a version.
func (t target) pinned() bool { return t.version != policy.VersionLatest }

// upToDateCount returns the number of engines of a cell that need no load. A pinned
// version must match exactly, to allow rollbacks; otherwise an engine above the
// latest version known here has loaded a newer one and counts as up to date.
func (t target) upToDateCount(result message.DirectiveResult) int {
	if t.pinned() {
		return result.AtVersion
	}
	return result.AtLeastVersion
}

// outdated reports whether the digest has an engine that needs a load. The digest
// may lag, so this only triggers a directive; loads are planned from its result.
func (t target) outdated(digest message.CellDigest, model string, version uint64) bool {
	return slices.ContainsFunc(digest.Models, func(count message.ModelCount) bool {
		above := t.pinned() && count.Version > version
		return count.Model == model && count.Engines > 0 && (count.Version < version || above)
	})
}

// targets groups the rows of the table by model. If rows of one model have
// different versions, the highest is used, since an engine at a higher version
// also serves rows that require a lower one.
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
				Msg("rows of one model have different versions")
		}
		if !found || higher(row.Version, current.version) {
			current.version = row.Version
		}
		current.rows = append(current.rows, row)
		wanted[row.Model] = current
	}
	return wanted
}

// higher reports whether version a is above b; policy.VersionLatest is above all others.
func higher(a, b uint64) bool {
	if b == policy.VersionLatest {
		return false
	}
	return a == policy.VersionLatest || a > b
}

// floor returns the largest floor, in percent, of the rows that use the cell, and
// whether there is such a row.
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

// ownershipsLocked returns the owned streams, sorted by name. Must be called with mu held.
func (c *Coordinator) ownershipsLocked() []cluster.Ownership {
	owned := make([]cluster.Ownership, 0, len(c.owned))
	for model, epoch := range c.owned {
		owned = append(owned, cluster.Ownership{Stream: StreamName(model), Epoch: epoch})
	}
	slices.SortFunc(owned, func(a, b cluster.Ownership) int { return cmp.Compare(a.Stream, b.Stream) })
	return owned
}
