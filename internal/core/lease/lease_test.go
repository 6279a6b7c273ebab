package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ttl = time.Second

var start = time.Unix(1000, 0)

// addressOf returns the address that successive processes of a machine bind.
func addressOf(node string) string { return "machine-" + node + ":7000" }

func claim(node, holder string, previousEpoch int64) Record {
	return Record{Kind: Claim, Node: node, Holder: holder, Address: addressOf(node), Epoch: previousEpoch}
}

func TestApplyFirstOfConcurrentClaimsWins(t *testing.T) {
	var state State
	assert.Assert(t, state.Apply(claim("a", "a1", 0), start))
	assert.Assert(t, !state.Apply(claim("b", "b1", 0), start))
	assert.Equal(t, state.Holder, "a1")
	assert.Equal(t, state.Epoch, int64(1))
}

func TestApplyIgnoresClaimOfStaleEpoch(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(claim("a", "a1", 1), start)
	assert.Equal(t, state.Holder, "b1")
	assert.Equal(t, state.Epoch, int64(2))
}

func TestClaimableOnlyAfterTTLInContact(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	assert.Assert(t, !state.Claimable("b", "b1", "", start.Add(ttl), start, ttl))
	assert.Assert(t, state.Claimable("b", "b1", "", start.Add(ttl+1), start, ttl))
	// A reader that could not reach the log may have missed renewals.
	reachableAt := start.Add(10 * ttl)
	assert.Assert(t, !state.Claimable("b", "b1", "", reachableAt.Add(ttl/2), reachableAt, ttl))
}

// Guards against a claim while the holder still runs: only a process that binds the holder's address
// proves that it has terminated. A replacement machine may have the same name.
func TestClaimableAtOnceAfterRestartOnSameAddress(t *testing.T) {
	var state State
	first := state.NewClaim("a", "a1", "10.0.0.1:7000")
	state.Apply(first, start)
	assert.Assert(t, state.Claimable("a", "a2", "10.0.0.1:7000", start, start, ttl))
	assert.Assert(t, !state.Claimable("a", "a1", "10.0.0.1:7000", start, start, ttl))
	assert.Assert(t, !state.Claimable("a", "a2", "10.0.0.2:7000", start, start, ttl), "another machine of the same name")
	assert.Assert(t, !state.Claimable("a", "a2", "", start, start, ttl), "without an address, the machine is unknown")
	assert.Assert(t, !state.Claimable("b", "b1", "10.0.0.1:7000", start, start, ttl), "another machine at the same address")
}

func TestReleasedLeaseIgnoresLaterRenewals(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	state.Apply(Record{Kind: Renew, Holder: "a1", Node: "a", Epoch: 1}, start.Add(ttl))
	assert.Assert(t, state.Claimable("b", "b1", "", start, start, ttl))
}

func TestApplyTakesEpochFromRenewalWithoutClaim(t *testing.T) {
	state := State{Next: 500}
	assert.Assert(t, state.Apply(Record{Kind: Renew, Holder: "a1", Node: "a", Epoch: 77}, start))
	assert.Equal(t, state.Epoch, int64(77))
	assert.Assert(t, !state.Claimable("b", "b1", "", start, start, ttl))
}

const quiet = 300 * time.Millisecond

func quietUntil(state *State, engine string, enginesFence bool) time.Time {
	return state.QuietUntil(engine, QuietPeriod{BetweenMachines: quiet, EnginesFence: enginesFence})
}

func orderOf(node string, epoch int64, held time.Duration, engines ...string) Record {
	return Record{Kind: Order, Node: node, Holder: node + "1", Address: addressOf(node), Epoch: epoch, Held: held, Engines: engines}
}

func renewal(node, holder string, epoch int64, held time.Duration) Record {
	return Record{Kind: Renew, Node: node, Holder: holder, Epoch: epoch, Held: held}
}

func TestQuietUntilOnlyAfterOrdersOfOtherMachines(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	assert.Assert(t, quietUntil(&state, "e1", false).IsZero(), "order of the current epoch")
	state.Apply(claim("a", "a2", 1), start)
	assert.Assert(t, !quietUntil(&state, "e1", false).After(start), "order of an earlier process of the same machine")
	state.Apply(claim("b", "b1", 3), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
	assert.Assert(t, quietUntil(&state, "e2", false).IsZero(), "no order to this engine")
	state.Apply(claim("b", "b2", 4), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet), "a restart does not end the quiet period")
}

func TestQuietUntilCountsOrdersOfEarlierEpochs(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(ttl+quiet))
}

func TestQuietUntilSubtractsTimeProvenByRecords(t *testing.T) {
	var state State
	// A process that has just started reads all records at once.
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, ttl, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(renewal("b", "b1", 3, 100*time.Millisecond), start)
	state.Apply(renewal("b", "b1", 3, 200*time.Millisecond), start)
	state.Apply(renewal("b", "b1", 3, 150*time.Millisecond), start)
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(100*time.Millisecond), "200 ms are proven, counted once")
}

func TestQuietUntilCountsElapsedTimeOnce(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	later := start.Add(200 * time.Millisecond)
	state.Apply(renewal("b", "b1", 3, 200*time.Millisecond), later)
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
}

func TestQuietUntilAfterGap(t *testing.T) {
	var state State
	state.SkipTo(500, start)
	state.Apply(renewal("a", "a1", 77, 10*ttl), start)
	state.Apply(claim("b", "b1", 77), start)
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
	state.Apply(renewal("b", "b1", 502, quiet), start)
	assert.Assert(t, !quietUntil(&state, "e1", false).After(start), "the time since the gap is proven")
	state.Skip(start)
	state.Apply(renewal("b", "b1", 502, quiet), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(ttl+quiet), "an unreadable record is a gap")
}

func TestQuietUntilZeroAfterReleaseIfEnginesFence(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	state.Apply(claim("b", "b1", 1), start)
	assert.Assert(t, quietUntil(&state, "e1", true).IsZero())
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet), "engines without fencing may still execute orders of a")
	state.Apply(orderOf("b", 4, 0, "e1"), start)
	state.Apply(claim("c", "c1", 4), start)
	assert.Equal(t, quietUntil(&state, "e1", true), start.Add(quiet), "b lost the lease without releasing it")
}

func TestExpiredOrdersAreRemoved(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	for i := range 3 * minPruneThreshold {
		state.Apply(orderOf("a", 1, 0, fmt.Sprint("e", i)), start.Add(time.Duration(i)*time.Second))
	}
	assert.Assert(t, len(state.history.orders) <= minPruneThreshold+1)
}

func TestUnexpiredOrdersAreKept(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	const engines = 3 * minPruneThreshold
	for i := range engines {
		state.Apply(orderOf("a", 1, 0, fmt.Sprint("e", i)), start)
	}
	state.Apply(claim("b", "b1", 1), start)
	for i := range engines {
		assert.Equal(t, quietUntil(&state, fmt.Sprint("e", i), false), start.Add(quiet))
	}
}

func TestEpochsAreMonotonicWithOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state State
		holders := map[int64]string{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			holder := rapid.SampledFrom([]string{"a1", "a2", "b1", "c1"}).Draw(t, "holder")
			record := Record{
				Kind: rapid.SampledFrom([]RecordKind{Claim, Renew, Release, Order}).Draw(t, "kind"), Holder: holder,
				Node: holder[:1], Epoch: rapid.Int64Range(max(0, state.Epoch-2), state.Epoch).Draw(t, "epoch"),
			}
			before := state.Epoch
			state.Apply(record, start)
			if state.Epoch < before {
				t.Fatalf("epoch decreased from %d to %d", before, state.Epoch)
			}
			if known, found := holders[state.Epoch]; found && known != state.Holder {
				t.Fatalf("epoch %d has the holders %s and %s", state.Epoch, known, state.Holder)
			}
			holders[state.Epoch] = state.Holder
		}
	})
}

// Guards against a shortened quiet period: an unacknowledged append may take effect late, so an Order record
// of an earlier holder may follow one of its successor.
func TestDelayedOrderRecordDoesNotReplaceNewerOrder(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	ordered := start.Add(ttl)
	state.Apply(orderOf("b", 2, 0, "e1"), ordered)
	state.Apply(orderOf("a", 1, 0, "e1"), ordered)
	assert.Assert(t, state.Apply(claim("a", "a1", 2), ordered))
	until := quietUntil(&state, "e1", false)
	assert.Assert(t, !until.Before(ordered.Add(quiet)), "a may send orders from %s, b sent one at %s", until, ordered)
}

// Guards against a claim that takes effect only for readers that start after truncated records.
func TestReaderAfterGapAgreesOnHolder(t *testing.T) {
	var complete, afterGap State
	apply := func(record Record) {
		complete.Apply(record, start)
		afterGap.Apply(record, start)
	}
	complete.Apply(claim("a", "a1", 0), start)
	complete.Apply(renewal("a", "a1", 1, 0), start)
	afterGap.SkipTo(complete.Next, start)
	// This reader knows of no holder.
	if !afterGap.Claimable("c", "c1", "", start, start, ttl) {
		return
	}
	apply(afterGap.NewClaim("c", "c1", ""))
	assert.Equal(t, afterGap.Holder, complete.Holder)
	assert.Equal(t, afterGap.Epoch, complete.Epoch)
}

// Guards against a reader that takes a stale epoch from the first renewal after a gap: the renewal may have been
// appended after another holder's claim.
func TestDelayedRenewalDoesNotRestoreEarlierEpoch(t *testing.T) {
	var complete, afterGap State
	apply := func(record Record) {
		complete.Apply(record, start)
		afterGap.Apply(record, start)
	}
	complete.Apply(claim("a", "a1", 0), start)
	complete.Apply(claim("b", "b1", 1), start)
	afterGap.SkipTo(complete.Next, start)
	apply(renewal("a", "a1", 1, ttl))
	later := start.Add(2 * ttl)
	if afterGap.Claimable("c", "c1", "", later, start, ttl) {
		apply(afterGap.NewClaim("c", "c1", ""))
	}
	assert.Equal(t, afterGap.Holder, complete.Holder)
	assert.Equal(t, afterGap.Epoch, complete.Epoch)
}

// Guards against a shortened quiet period: a renewal proves the time since the previous one, not since an
// earlier holder's Order record between the two.
func TestProvenTimeStartsAfterOrder(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	ordered := start.Add(time.Second)
	state.Apply(orderOf("a", 1, 0, "e1"), ordered)
	state.Apply(renewal("b", "b1", 2, time.Second), ordered)
	until := quietUntil(&state, "e1", false)
	assert.Assert(t, !until.Before(ordered.Add(quiet)), "quiet until %s, ordered at %s", until, ordered)
}

// Guards against a shortened quiet period: a gap may contain an order right before the first record after it.
func TestProvenTimeStartsAfterGap(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(renewal("a", "a1", 1, 0), start)
	gapEnd := start.Add(10 * time.Second)
	state.SkipTo(state.Next+50, gapEnd)
	state.Apply(renewal("a", "a1", 1, 10*time.Second), gapEnd)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, gapEnd)
	assert.Assert(t, state.Apply(claim("b", "b1", 1), gapEnd))
	until := quietUntil(&state, "e1", false)
	assert.Assert(t, !until.Before(gapEnd.Add(quiet)), "quiet until %s, the gap ended at %s", until, gapEnd)
}

// Guards against a claim of a lease whose renewals were in a gap.
func TestGapRestartsTTL(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(renewal("a", "a1", 1, 0), start)
	now := start.Add(ttl + 1)
	state.SkipTo(state.Next+5, now)
	assert.Assert(t, !state.Claimable("b", "b1", "", now, start, ttl), "the gap may contain renewals")
}

// Guards against a skipped quiet period: the holder's own order may not have been sent, while that of the
// other machine may have been.
func TestOwnOrderDoesNotReplaceOrderOfOtherMachine(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(orderOf("b", 3, 0, "e1"), start.Add(quiet/3))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
}

// Guards against orders that arrive out of sequence: an order of the previous process may still be in transit,
// and only engines that check fencing tokens reject it.
func TestQuietUntilCoversTransitAfterRestart(t *testing.T) {
	const maxArrivalDelay = 100 * time.Millisecond
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(claim("a", "a2", 1), start)
	period := QuietPeriod{BetweenMachines: quiet, MaxArrivalDelay: maxArrivalDelay}
	assert.Equal(t, state.QuietUntil("e1", period), start.Add(maxArrivalDelay))
	period.EnginesFence = true
	assert.Assert(t, state.QuietUntil("e1", period).IsZero())
}

// Guards against a second claim in the same epoch: at another offset than its own, a claim has no effect.
func TestClaimTakesEffectOnlyAtItsOffset(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	lost := state.NewClaim("b", "b1", "")
	won := state.NewClaim("c", "c1", "")
	assert.Assert(t, state.Apply(won, start))
	assert.Assert(t, !state.Apply(lost, start))
	assert.Equal(t, state.Holder, "c1")
	assert.Equal(t, state.Epoch, won.NewEpoch)
}

// Guards against a claim of a lease that another node may have claimed in the gap.
func TestLeaseReleasedBeforeGapIsNotClaimable(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	gapEnd := start.Add(10 * ttl)
	state.SkipTo(state.Next+10, gapEnd)
	assert.Assert(t, !state.Claimable("b", "b1", "", gapEnd, gapEnd, ttl))
	assert.Assert(t, state.Claimable("b", "b1", "", gapEnd.Add(ttl+1), gapEnd, ttl))
}

// Guards against a skipped quiet period: the replaced machine has the same name and may still run at another
// address.
func TestQuietUntilAfterMachineReplacement(t *testing.T) {
	period := QuietPeriod{BetweenMachines: quiet, MaxArrivalDelay: quiet / 3}
	var s State
	at := start
	s.Apply(s.NewClaim("a", "a1", "10.0.0.1:7000"), at)
	s.Apply(Record{Kind: Order, Holder: "a1", Node: "a", Address: "10.0.0.1:7000", Epoch: s.Epoch, Engines: []string{"e"}}, at)
	at = at.Add(quiet / 10)
	s.Apply(s.NewClaim("a", "a2", "10.0.0.2:7000"), at)
	remaining := s.QuietUntil("e", period).Sub(at)
	assert.Assert(t, remaining > period.BetweenMachines, "another machine of the same name may send orders after %s", remaining)
}

// Runs several nodes with conditional appends on one log, some of which miss records. All that have since read
// a record of the current epoch must agree on the holder, and no record of a holder may follow a later claim.
func TestReadersWithGapsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a1", "b1", "c1"}
		views := make([]State, len(names))
		var log []Record
		var claimed int64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			index := rapid.IntRange(0, len(names)-1).Draw(t, "node")
			view, name := &views[index], names[index]
			switch rapid.SampledFrom([]string{"read", "miss", "claim", "write"}).Draw(t, "step") {
			case "read":
				for view.Next < int64(len(log)) {
					view.Apply(log[view.Next], start)
				}
			case "miss":
				view.SkipTo(int64(len(log)), start)
			case "claim":
				if view.Next == int64(len(log)) {
					log = append(log, view.NewClaim(name[:1], name, ""))
					claimed = int64(len(log))
				}
			case "write":
				if view.Next != int64(len(log)) || !view.HeldBy(name, view.Epoch) {
					continue
				}
				if view.Epoch != claimed {
					t.Fatalf("%s writes in epoch %d, the newest claim started epoch %d", name, view.Epoch, claimed)
				}
				kind := rapid.SampledFrom([]RecordKind{Renew, Order, Release}).Draw(t, "kind")
				log = append(log, Record{Kind: kind, Node: name[:1], Holder: name, Epoch: view.Epoch})
			}
		}
		for i := range views {
			view := &views[i]
			for view.Next < int64(len(log)) {
				view.Apply(log[view.Next], start)
			}
			if !view.epochUncertain && view.Epoch != claimed {
				t.Fatalf("current epoch of %s is %d, want %d", names[i], view.Epoch, claimed)
			}
		}
	})
}
