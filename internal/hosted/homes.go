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

// directoryWait bounds how long a newly started node waits for the list of other nodes before it decides whether
// any node may run a job.
const directoryWait = time.Second

// configVersion returns the version of the configuration in force; zero without one.
func (n *node) configVersion() int64 {
	table := n.state.table()
	if table == nil {
		return 0
	}
	return table.Version
}

// jobHomes returns the regions that may serve and store a job under the configuration in force. The regions
// recorded in the job apply if it was accepted under a newer configuration, or its route or tenant no longer
// exists.
func (n *node) jobHomes(job *batch.JobRecord) homes.Set {
	recorded := homes.Of(job.Homes)
	table := n.state.table()
	if table == nil || job.Config > table.Version {
		return recorded
	}
	set, known := table.JobHomesOf(job.Host, job.Path, job.Tenant)
	if !known {
		return recorded
	}
	return set
}

// acceptWithin accepts a job unless no node in the regions can run it, or a live node might run it outside of them.
func (n *node) acceptWithin(ctx context.Context, submission batchjobs.Submission, within homes.Set) error {
	refusal := n.checkRegions(ctx, within)
	if refusal == nil {
		return n.jobs.Accept(ctx, submission)
	}
	// An earlier attempt may have stored the job, which then runs: a refusal would be wrong.
	known, err := n.jobs.Exists(ctx, submission.Job.ID)
	switch {
	case known:
		return nil
	case err != nil:
		return errkind.New(errkind.OutcomeUnknownRepeatable, "whether the job was taken before is not known: %s", err.Error())
	default:
		return refusal
	}
}

// checkRegions returns an error if a job bound to the regions must be refused.
func (n *node) checkRegions(ctx context.Context, within homes.Set) error {
	if !n.hasNodeIn(ctx, within) {
		return errkind.New(errkind.OutsideHomes, "no node is in %s", within)
	}
	if within.IsRestricted() && !n.nodesSupportHomes(ctx) {
		return errkind.New(errkind.UpgradeInProgress, "a node may be live whose build does not know home regions")
	}
	return nil
}

// nodesSupportHomes reports whether all nodes support home regions. One that does not would run region-bound jobs
// anywhere.
func (n *node) nodesSupportHomes(ctx context.Context) bool {
	awaitWithTimeout(ctx, n.directory.Loaded(), directoryWait)
	return n.clusterVersion.Supports(clusterversion.Homes)
}

// hasNodeIn reports whether a known node may run a job that is bound to the regions.
func (n *node) hasNodeIn(ctx context.Context, within homes.Set) bool {
	if n.directory.HasNodeIn(within) {
		return true
	}
	if within.IsEmpty() {
		return false
	}
	awaitWithTimeout(ctx, n.directory.Loaded(), directoryWait)
	return n.directory.HasNodeIn(within)
}

// regionOf returns the region of an engine's zone. An engine in an unknown zone gets no region-bound requests; each
// such zone is logged once.
func (n *node) regionOf(engine fleet.Engine) string {
	region := n.topology.Region(engine.Zone)
	if region != "" {
		return region
	}
	if _, logged := n.loggedUnknownZones.LoadOrStore(engine.Zone, true); !logged {
		n.logger.Warn().Str("zone", engine.Zone).Str("engine", engine.ID).
			Msg("zone has no known region")
	}
	return ""
}

// warnUnknownHomes logs home regions that contain no zone, where nothing can be served.
func (n *node) warnUnknownHomes(table *routes.Table) {
	for _, region := range table.HomeRegions() {
		if !n.topology.HasRegion(region) {
			n.logger.Warn().Str("region", region).Int64("config", table.Version).Msg("home region without a zone")
		}
	}
}
