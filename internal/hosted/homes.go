package hosted

import (
	"context"
	"time"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// directoryWait bounds the wait of a node that has just started for what it knows of the others, before
// it takes a job that none of its own region may run.
const directoryWait = time.Second

// configVersion is the version of the configuration in force; zero for none.
func (n *node) configVersion() int64 {
	table := n.state.table()
	if table == nil {
		return 0
	}
	return table.Version
}

// jobHomes returns the regions that alone may serve and keep a job, by the configuration in force. Where
// the node that took the job knew a newer one, or its route or tenant is not there any more, they are
// those by which it was taken.
func (n *node) jobHomes(job *batch.JobRecord) homes.Set {
	taken := homes.Of(job.Homes)
	table := n.state.table()
	if table == nil || job.Config > table.Version {
		return taken
	}
	set, known := table.HomesOf(job.Host, job.Path, job.Tenant)
	if !known {
		return taken
	}
	return set
}

// acceptAtHome keeps a job, unless no node may run it or a node may be live that would run it elsewhere.
func (n *node) acceptAtHome(ctx context.Context, submission batchjobs.Submission, within homes.Set) error {
	refusal := n.refusalAtHome(ctx, within)
	if refusal == nil {
		return n.jobs.Accept(ctx, submission)
	}
	// An earlier call may have had the job kept; then it may run, and a refusal would not be true.
	known, err := n.jobs.Knows(ctx, submission.Job.ID)
	switch {
	case known:
		return nil
	case err != nil:
		return errkind.New(errkind.OutcomeUnknownRepeatable, "whether the job was taken before is not known: %s", err.Error())
	default:
		return refusal
	}
}

// refusalAtHome returns why a job is refused that is bound to the regions; nil when it may be kept.
func (n *node) refusalAtHome(ctx context.Context, within homes.Set) error {
	if !n.hasRunnerFor(ctx, within) {
		return errkind.New(errkind.OutsideHomes, "no node is in %s", within)
	}
	if within.Bound() && !n.mayBind(ctx) {
		return errkind.New(errkind.UpgradeInProgress, "a node may be live whose build does not know home regions")
	}
	return nil
}

// mayBind reports whether all nodes know home regions: one that does not would run a job that is bound to regions
// anywhere.
func (n *node) mayBind(ctx context.Context) bool {
	awaitAtMost(ctx, n.directory.Known(), directoryWait)
	return n.clusterVersion.Serves(clusterversion.Homes)
}

// hasRunnerFor tells whether a node may run a job that is bound to the regions, as far as this node knows
// of the others.
func (n *node) hasRunnerFor(ctx context.Context, within homes.Set) bool {
	if n.directory.HasNodeIn(within) {
		return true
	}
	if within.Nowhere() {
		return false
	}
	awaitAtMost(ctx, n.directory.Known(), directoryWait)
	return n.directory.HasNodeIn(within)
}

// regionOf returns the region of an engine's zone. One of an unknown zone serves no request that is bound
// to regions, which is told once for each.
func (n *node) regionOf(engine fleet.Engine) string {
	region := n.topology.Region(engine.Zone)
	if region != "" {
		return region
	}
	if _, told := n.unknownZones.LoadOrStore(engine.Zone, true); !told {
		n.logger.Warn().Str("zone", engine.Zone).Str("engine", engine.ID).
			Msg("zone of unknown region")
	}
	return ""
}

// checkHomes tells of home regions in which no zone lies: nothing can be served there.
func (n *node) checkHomes(table *routes.Table) {
	for _, region := range table.NamedHomes() {
		if !n.topology.HasRegion(region) {
			n.logger.Warn().Str("region", region).Int64("config", table.Version).Msg("home region without a zone")
		}
	}
}
