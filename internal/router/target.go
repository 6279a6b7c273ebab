package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/core/routing"
	"github.com/corkpulley/corkpulley/internal/message"
)

// capAvoidance is how long a cell that refused a service with errkind.CapReached is avoided. A cap is
// divided among cells by engine count, and a cell with a share of 0 refuses every request.
const capAvoidance = 2 * time.Second

// failureAvoidance is how long a cell is avoided after its dispatcher was unreachable, changed owners
// or found no engine, until the digests reflect the failure. It keeps retries within the budget.
const failureAvoidance = 500 * time.Millisecond

// target is a cell and the node to submit to.
type target struct {
	cell    message.CellID
	node    string
	address string
}

// triedSet holds the targets that refused or lost the request.
type triedSet map[target]struct{}

// choice is a target and the minimum version used to select it.
type choice struct {
	target
	minVersion uint64
}

// choose selects a cell and the dispatcher to submit to; false if every eligible cell was tried or
// none is known. The submission counts as load of the cell until its next digest.
func (r *CellRouter) choose(row policy.Row, request *Request, tried triedSet) (choice, bool) {
	digests := r.options.View.Cells()
	now := time.Now()
	minVersion := effectiveMinVersion(row, request, digests)
	query := routing.NewQuery(row, minVersion, request.Prompt)
	shard := &r.shards[shardIndex(row.Pool)]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	cells := shard.tracker.Update(digestsOfShard(digests, row.Pool), now)
	query.Excluded = shard.avoid.Cells(row.Service, now)
	selected, ok := r.pickUntried(shard, cells, query, tried)
	if !ok && len(query.Excluded) > 0 {
		query.Excluded = make(map[message.CellID]struct{})
		selected, ok = r.pickUntried(shard, cells, query, tried)
	}
	if !ok {
		return choice{}, false
	}
	shard.tracker.Submitted(selected.cell)
	return choice{target: selected, minVersion: minVersion}, true
}

// pickUntried picks cells until one has an untried dispatcher and adds the others to query.Excluded.
// Must be called with the shard's mutex held.
func (r *CellRouter) pickUntried(shard *shard, cells []routing.Cell, query routing.Query, tried triedSet) (target, bool) {
	for {
		eligible := routing.Eligible(cells, query, r.options.StaleAfter)
		picked, found := shard.picker.Pick(eligible, query)
		if !found {
			return target{}, false
		}
		if candidate, untried := r.untriedTarget(picked.Digest, tried); untried {
			return candidate, true
		}
		query.Excluded[picked.Digest.Cell] = struct{}{}
	}
}

// recordRefusal removes the submission from the cell's load and, unless the queue was full, avoids the
// cell for a while. The digests already show a full queue.
func (r *CellRouter) recordRefusal(service string, cell message.CellID, err error) {
	shard := &r.shards[shardIndex(cell.Pool)]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.tracker.Refused(cell)
	switch {
	case errkind.Is(err, errkind.QueueFull):
	case errkind.Is(err, errkind.CapReached):
		shard.avoid.Add(service, cell, time.Now().Add(capAvoidance))
	default:
		shard.avoid.Add(service, cell, time.Now().Add(failureAvoidance))
	}
}

// untriedTarget returns an untried node that is likely to run the cell's dispatcher: the sender of the
// digest, else the owner computed from the members of the cell's zone. The two differ while ownership
// changes.
func (r *CellRouter) untriedTarget(digest *message.CellDigest, tried triedSet) (target, bool) {
	if r.isSelfDispatched(digest.Cell) {
		own := target{cell: digest.Cell, node: r.options.NodeID, address: r.options.View.Self().Address}
		_, alreadyTried := tried[own]
		return own, !alreadyTried
	}
	sender := target{cell: digest.Cell, node: digest.Node, address: digest.Address}
	if _, alreadyTried := tried[sender]; !alreadyTried && r.mayDispatch(digest) {
		return sender, true
	}
	candidates := r.options.View.Candidates(digest.Cell.Zone)
	ids := make([]string, 0, len(candidates))
	for _, member := range candidates {
		ids = append(ids, member.ID)
	}
	owner := routing.CellOwner(digest.Cell, ids)
	for _, member := range candidates {
		successor := target{cell: digest.Cell, node: owner, address: member.Address}
		if _, alreadyTried := tried[successor]; !alreadyTried && member.ID == owner {
			return successor, true
		}
	}
	return target{}, false
}

// isSelfDispatched reports whether this node dispatches requests for the cell itself instead of
// sending them to another node, as routing.StrategyOneHop does within its own zone.
func (r *CellRouter) isSelfDispatched(cell message.CellID) bool {
	oneHop := routing.Strategy(r.options.Strategy) == routing.StrategyOneHop
	return oneHop && cell.Zone == r.options.Zone
}

// mayDispatch reports whether the digest's sender may still accept requests. Members of other zones
// may be unknown here.
func (r *CellRouter) mayDispatch(digest *message.CellDigest) bool {
	member, known := r.members.find(digest.Node, time.Now())
	if !known {
		return digest.Cell.Zone != r.options.Zone
	}
	return member.State == cluster.StateAlive || member.State == cluster.StateSuspect
}

// effectiveMinVersion returns the minimum version: the request's own, raised for live services to the
// row's staleness limit.
func effectiveMinVersion(row policy.Row, request *Request, digests []message.CellDigest) uint64 {
	if row.Kind != policy.KindLive {
		return request.MinVersion
	}
	return max(request.MinVersion, routing.MinVersion(row, digests))
}

func shardIndex(pool string) uint64 {
	return xxhash.Sum64String(pool) % shardCount
}

// digestsOfShard returns the digests of all pools in the shard of pool. The shard's tracker drops
// cells that are missing from an update.
func digestsOfShard(digests []message.CellDigest, pool string) []*message.CellDigest {
	wanted := shardIndex(pool)
	selected := make([]*message.CellDigest, 0, len(digests))
	for index := range digests {
		digest := &digests[index]
		if digest.Cell.Pool == pool || shardIndex(digest.Cell.Pool) == wanted {
			selected = append(selected, digest)
		}
	}
	return selected
}
