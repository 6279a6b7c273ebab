package tables

import (
	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// History returns up to limit accepted revisions that this node has read from
// the log, newest first.
func (t *Tables) History(limit int) []api.HistoryEntry {
	var accepted []policy.AcceptedRevision
	t.options.Stream.View(func() { accepted = t.options.Reducer.History(limit) })
	entries := make([]api.HistoryEntry, 0, len(accepted))
	for _, revision := range accepted {
		entries = append(entries, api.HistoryEntry{
			Revision: revision.Revision,
			Base:     revision.Base,
			Operator: revision.Operator,
			UnixMS:   revision.UnixMS,
			Changes:  revision.Changes,
		})
	}
	return entries
}

// TableAt returns the table of an accepted revision, if it is still retained.
func (t *Tables) TableAt(revision int64) (*policy.Table, bool) {
	if table, kept := t.recentTable(revision); kept {
		return table, true
	}
	var table *policy.Table
	known := false
	t.options.Stream.View(func() { table, known = t.options.Reducer.TableAt(revision) })
	return table, known
}
