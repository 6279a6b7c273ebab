package batchrun

import (
	"time"

	"github.com/corkpulley/corkpulley/internal/core/batchitem"
	"github.com/corkpulley/corkpulley/internal/core/batchplan"
)

// DropReason is why the output of an item was dropped, so that the item starts over.
type DropReason uint8

const (
	// DroppedVersionGone: no engine has the output's only weight version, and none can get it.
	DroppedVersionGone DropReason = iota
	// DroppedVersionUnavailable: no engine with that version took the item for as long as its output is worth.
	DroppedVersionUnavailable
	// DroppedMixedVersions: the output is from several weight versions, although the route requires a single one.
	DroppedMixedVersions
	// DroppedOldVersion: the engine continued the output with a weight version below the job's minimum.
	DroppedOldVersion
	// DroppedTooLong: the engine sent more output than the item can have.
	DroppedTooLong
	dropReasonCount
)

var dropReasonNames = [dropReasonCount]string{
	DroppedVersionGone: "version_gone", DroppedVersionUnavailable: "version_unavailable",
	DroppedMixedVersions: "mixed_versions", DroppedOldVersion: "version_too_old", DroppedTooLong: "too_long",
}

// String returns the reason's name in logs and metrics.
func (r DropReason) String() string { return dropReasonNames[r] }

// DropReasons returns all reasons.
func DropReasons() []DropReason {
	reasons := make([]DropReason, dropReasonCount)
	for i := range reasons {
		reasons[i] = DropReason(i)
	}
	return reasons
}

// restartDropReasons holds the reasons of the plan's restarts.
var restartDropReasons = map[batchplan.RestartReason]DropReason{
	batchplan.VersionGone:        DroppedVersionGone,
	batchplan.VersionUnavailable: DroppedVersionUnavailable,
}

// dropOutput drops the output of an item, which starts over. Must be called with mu held.
func (r *Runner) dropOutput(job *openJob, index int, reason DropReason) {
	state := &job.items[index]
	dropped := state.Output
	state.Output = batchitem.Output{}
	r.reportDropped(job, index, dropped, reason)
}

// reportDropped logs and counts output that an item has lost. Must be called with mu held.
func (r *Runner) reportDropped(job *openJob, index int, dropped batchitem.Output, reason DropReason) {
	state := &job.items[index]
	idleSince := state.IdleSince
	state.IdleSince = time.Time{}
	if dropped.Empty() {
		return
	}
	line := r.options.Logger.Warn().Str("job", job.record.ID).Str("item", job.record.Items[index].ID).
		Stringer("reason", reason).Int64("events", dropped.Last()).Ints64("versions", dropped.Versions())
	if !idleSince.IsZero() {
		line = line.Dur("idle_ms", time.Since(idleSince))
	}
	line.Msg("item output dropped")
	if r.options.OnOutputDropped != nil {
		r.options.OnOutputDropped(reason)
	}
}
