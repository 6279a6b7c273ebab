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

// capAvoidance is how long a cell that refused a service with
// errkind.CapReached is avoided: dispatchers split a cap over the cells by
// engines, and a cell whose part is 0 refuses every request.
const capAvoidance = 2 * time.Second

// troubleAvoidance is how long a cell is avoided whose dispatcher could not be
// reached, changes hands or found no engine. It keeps the retries few, and so
// inside the budget, until the digests show the trouble.
const troubleAvoidance = 500 * time.Millisecond

// target is one dispatcher of one cell.
type target struct {
	cell    message.CellID
	node    string
	address string
}

// triedSet holds the targets that already refused or lost a request.
type triedSet map[target]struct{}

// choice is a target with the version floor that it was chosen under.
type choice struct {
	target
	minVersion uint64
}

// choose picks a cell for a request and the dispatcher to ask; false when
// every eligible cell was tried or none is known. The submission is counted
// against the cell until its next digest.
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
	found, ok := r.pickUntried(shard, cells, query, tried)
	if !ok && len(query.Excluded) > 0 {
		query.Excluded = make(map[message.CellID]struct{})
		found, ok = r.pickUntried(shard, cells, query, tried)
	}
	if !ok {
		return choice{}, false
	}
	shard.tracker.Submitted(found.cell)
	return choice{target: found, minVersion: minVersion}, true
}

// pickUntried picks among the cells until one has an untried dispatcher. It
// adds the others to the query's excluded cells. The caller holds the shard's lock.
func (r *CellRouter) pickUntried(shard *shard, cells []routing.Cell, query routing.Query, tried triedSet) (target, bool) {
	for {
		eligible := routing.Eligible(cells, query, r.options.StaleAfter)
		picked, found := shard.picker.Pick(eligible, query)
		if !found {
			return target{}, false
		}
		if candidate, untried := r.dispatcher(picked.Digest, tried); untried {
			return candidate, true
		}
		query.Excluded[picked.Digest.Cell] = struct{}{}
	}
}

// refused takes back the count of a submission that the cell did not take, and
// avoids the cell for a while. A full queue is no reason: the digests show it.
func (r *CellRouter) refused(service string, cell message.CellID, err error) {
	shard := &r.shards[shardIndex(cell.Pool)]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.tracker.Refused(cell)
	switch {
	case errkind.Is(err, errkind.QueueFull):
	case errkind.Is(err, errkind.CapReached):
		shard.avoid.Add(service, cell, time.Now().Add(capAvoidance))
	default:
		shard.avoid.Add(service, cell, time.Now().Add(troubleAvoidance))
	}
}

// dispatcher returns the likeliest node that runs the cell's dispatcher and was
// not tried: the one that told of the cell, else the one that the members of
// the cell's zone name as its owner, which differs while the cell changes hands.
func (r *CellRouter) dispatcher(digest *message.CellDigest, tried triedSet) (target, bool) {
	if r.dispatchesItself(digest.Cell) {
		own := target{cell: digest.Cell, node: r.options.NodeID, address: r.options.View.Self().Address}
		_, done := tried[own]
		return own, !done
	}
	sender := target{cell: digest.Cell, node: digest.Node, address: digest.Address}
	if _, done := tried[sender]; !done && r.mayDispatch(digest) {
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
		if _, done := tried[successor]; !done && member.ID == owner {
			return successor, true
		}
	}
	return target{}, false
}

// dispatchesItself reports a cell that this node sends to without the cell's
// own dispatcher, which is the baseline routing.StrategyOneHop.
func (r *CellRouter) dispatchesItself(cell message.CellID) bool {
	oneHop := routing.Strategy(r.options.Policy) == routing.StrategyOneHop
	return oneHop && cell.Zone == r.options.Zone
}

// mayDispatch reports whether the digest's sender may still take work. A
// sender in another zone need not be among the members known here.
func (r *CellRouter) mayDispatch(digest *message.CellDigest) bool {
	member, known := r.members.find(digest.Node, time.Now())
	if !known {
		return digest.Cell.Zone != r.options.Zone
	}
	return member.State == cluster.StateAlive || member.State == cluster.StateSuspect
}

// effectiveMinVersion returns the version floor: the request's own, and for
// live services the floor that the row sets below the version in force.
func effectiveMinVersion(row policy.Row, request *Request, digests []message.CellDigest) uint64 {
	if row.Kind != policy.KindLive {
		return request.MinVersion
	}
	return max(request.MinVersion, routing.MinVersion(row, digests))
}

func shardIndex(pool string) uint64 {
	return xxhash.Sum64String(pool) % shardCount
}

// digestsOfShard returns the digests of all pools that share the pool's shard:
// the shard's tracker forgets cells that it is not shown.
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
