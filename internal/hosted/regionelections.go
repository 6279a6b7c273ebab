package hosted

import (
	"context"
	"fmt"
	"sync"

	"github.com/corkpulley/corkpulley/internal/batchrun"
	"github.com/corkpulley/corkpulley/internal/coldpermits"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/leadership"
)

// homeLeasePrefix is the prefix of the topics that hold the leases of region-bound job runners.
const homeLeasePrefix = "corkpulley.lease."

// regionElections takes part in the elections among nodes of home regions: for each set of regions to which batch
// jobs are bound, the nodes in these regions elect one that runs the jobs, so that job data stays in them.
type regionElections struct {
	node *node
	// role is run while this node holds the lease of a set.
	role func(ctx context.Context, term leadership.Term, set homes.Set)
	// changed is signalled on each new configuration.
	changed chan struct{}
	// electionCount is the number of elections joined. Only Run's goroutine uses it.
	electionCount int

	mu       sync.Mutex
	electors map[homes.Set]*leadership.Elector
	// claimsDeferred and stopped are set during a planned stop.
	claimsDeferred bool
	stopped        bool
}

func newRegionElections(n *node) *regionElections {
	return &regionElections{
		node: n, role: n.runRegionBoundJobs, changed: make(chan struct{}, 1), electors: make(map[homes.Set]*leadership.Elector),
	}
}

// NotifyTableChanged signals a new configuration. It never blocks.
func (r *regionElections) NotifyTableChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// election is an election that this node takes part in.
type election struct {
	// leave leaves the election. ended is closed once the role has ended and a release of the lease has been tried.
	leave func()
	ended <-chan struct{}
}

// Run takes part in the elections until ctx ends.
func (r *regionElections) Run(ctx context.Context) error {
	var elections sync.WaitGroup
	joined, leaving := make(map[homes.Set]election), make(map[homes.Set]election)
	for ctx.Err() == nil {
		wanted := r.wanted()
		for set, each := range joined {
			if !wanted[set] {
				each.leave()
				leaving[set] = each
				delete(joined, set)
			}
		}
		for set := range wanted {
			if _, found := joined[set]; !found {
				joined[set] = r.join(ctx, set, leaving[set].ended, &elections)
				delete(leaving, set)
			}
		}
		select {
		case <-ctx.Done():
		case <-r.changed:
		}
	}
	elections.Wait()
	return nil
}

// wanted returns the region sets in whose elections this node takes part under the current configuration.
func (r *regionElections) wanted() map[homes.Set]bool {
	wanted := make(map[homes.Set]bool)
	table := r.node.state.table()
	if table == nil {
		return wanted
	}
	for _, set := range table.BatchHomes() {
		if set.Allows(r.node.config.Node.Region) {
			wanted[set] = true
		}
	}
	return wanted
}

// join joins the election for a set once the previous one for it has ended; previousEnded is nil for none. Each
// election has its own holder ID: if a lease could not be released, the same holder would continue its term, and the
// records of two runners in one term could not be told apart.
func (r *regionElections) join(
	ctx context.Context, set homes.Set, previousEnded <-chan struct{}, elections *sync.WaitGroup,
) election {
	n := r.node
	r.electionCount++
	options := n.leaseOptions()
	options.Topic = homeLeasePrefix + set.ID()
	options.Holder = fmt.Sprintf("%s.%d", n.holder, r.electionCount)
	options.Logger = n.logger.With().Stringer("homes", set).Logger()
	elector := leadership.New(n.log, options, func(ctx context.Context, term leadership.Term) {
		r.role(ctx, term, set)
	})
	if !r.add(set, elector) {
		return election{leave: func() {}, ended: previousEnded}
	}
	electionContext, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	elections.Go(func() {
		defer close(ended)
		defer cancel()
		defer r.remove(set, elector)
		if previousEnded != nil {
			<-previousEnded
		}
		if err := elector.Run(electionContext); err != nil {
			options.Logger.Error().Err(err).Msg("election of a job runner failed")
		}
		releaseContext, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
		defer cancelRelease()
		elector.Stop(releaseContext)
	})
	leave := func() {
		r.remove(set, elector)
		cancel()
	}
	return election{leave: leave, ended: ended}
}

// add registers an elector. It returns false if the node has stopped its elections.
func (r *regionElections) add(set homes.Set, elector *leadership.Elector) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	if r.claimsDeferred {
		elector.DeferClaims()
	}
	r.electors[set] = elector
	return true
}

// remove unregisters an elector unless a newer one has replaced it.
func (r *regionElections) remove(set homes.Set, elector *leadership.Elector) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.electors[set] == elector {
		delete(r.electors, set)
	}
}

// DeferClaims makes all electors delay their claims of free leases, since the node is about to stop.
func (r *regionElections) DeferClaims() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimsDeferred = true
	for _, elector := range r.electors {
		elector.DeferClaims()
	}
}

// Stop releases all leases and prevents new claims.
func (r *regionElections) Stop(ctx context.Context) {
	r.mu.Lock()
	r.stopped = true
	var stopping sync.WaitGroup
	for _, elector := range r.electors {
		stopping.Go(func() { elector.Stop(ctx) })
	}
	r.mu.Unlock()
	stopping.Wait()
}

// runRegionBoundJobs runs the items of the jobs that are bound to a set of regions. It shares engines with other
// runners, each of which counts only its own items; an engine without a free slot refuses.
//
// Requests to cold engines need the leader's permit here too, since the leader limits their rate over all senders.
func (n *node) runRegionBoundJobs(ctx context.Context, term leadership.Term, set homes.Set) {
	n.itemRunners.Add(1)
	defer n.itemRunners.Add(-1)
	var runner *batchrun.Runner
	permits := coldpermits.NewPool(ctx, coldpermits.PoolOptions{
		RequestPermit: n.coldPermits.RequestPermit, Find: n.fleet.Find, Granted: func() { runner.Wake() },
	})
	runner = batchrun.New(batchrun.Options{
		Jobs: n.jobs, Engines: n.engineCalls, Fleet: n.fleet, Scorer: n, Crashes: n.crashDetector, Gate: n.gate,
		DueOrder: n.ordersByDue(), OnJobDecision: n.metrics.jobDecided,
		ColdStarts: permits, RouteOf: n.batchRoute, EngineTokensOf: n.engineTokens, Seed: seedOf(n.holder),
		Homes: set, HomesOf: n.jobHomes, ConfigVersion: n.configVersion,
		// The leader manages weight versions; an engine that is loading one refuses items.
		LoadingModel:  func(incarnation.ID) string { return "" },
		LoadingModels: func() map[incarnation.ID]string { return nil },
		MixedEngines:  n.mixedEngines(), OnOutputDropped: n.metrics.outputDropped,
		OnMove: n.metrics.itemMoved, OnFastEngines: n.metrics.fastEnginesOf(set),
		OnWaits: n.metrics.itemWaits.of(set),
		Term:    fmt.Sprintf("%s.%d", set.ID(), term.Epoch),
		Logger:  n.logger.With().Stringer("homes", set).Logger(),
	})
	defer n.metrics.forgetFastEngines(set)
	defer n.metrics.itemWaits.forget(set)
	gauge := n.metrics.runningHomes.WithLabelValues(set.String())
	gauge.Set(1)
	defer gauge.Set(0)
	runner.Run(ctx)
}
