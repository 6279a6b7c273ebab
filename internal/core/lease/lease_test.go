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

// addressOf returns the address that the processes of a machine bind, one after the other.
func addressOf(node string) string { return "machine-" + node + ":7000" }

func claim(node, holder string, follows int64) Record {
	return Record{Kind: Claim, Node: node, Holder: holder, Address: addressOf(node), Epoch: follows}
}

func TestFirstOfTwoRacingClaimsWins(t *testing.T) {
	var state State
	assert.Assert(t, state.Apply(claim("a", "a1", 0), start))
	assert.Assert(t, !state.Apply(claim("b", "b1", 0), start))
	assert.Equal(t, state.Holder, "a1")
	assert.Equal(t, state.Epoch, int64(1))
}

func TestLateClaimOfAnOldEpochIsVoid(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(claim("a", "a1", 1), start)
	assert.Equal(t, state.Holder, "b1")
	assert.Equal(t, state.Epoch, int64(2))
}

func TestLeaseIsClaimableOnlyAfterItsTimeInContact(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	assert.Assert(t, !state.Claimable("b", "b1", "", start.Add(ttl), start, ttl))
	assert.Assert(t, state.Claimable("b", "b1", "", start.Add(ttl+1), start, ttl))
	// A reader without contact with the log has not seen the renewals.
	backAt := start.Add(10 * ttl)
	assert.Assert(t, !state.Claimable("b", "b1", "", backAt.Add(ttl/2), backAt, ttl))
}

// TestRestartedMachineClaimsAtOnce: only a process that has bound the address of the earlier one,
// which has certainly ended then. The machine's name alone is no proof, since a replacement may
// have it.
func TestRestartedMachineClaimsAtOnce(t *testing.T) {
	var state State
	first := state.NewClaim("a", "a1", "10.0.0.1:7000")
	state.Apply(first, start)
	assert.Assert(t, state.Claimable("a", "a2", "10.0.0.1:7000", start, start, ttl))
	assert.Assert(t, !state.Claimable("a", "a1", "10.0.0.1:7000", start, start, ttl))
	assert.Assert(t, !state.Claimable("a", "a2", "10.0.0.2:7000", start, start, ttl), "another machine of this name")
	assert.Assert(t, !state.Claimable("a", "a2", "", start, start, ttl), "nothing shows that it is the same machine")
	assert.Assert(t, !state.Claimable("b", "b1", "10.0.0.1:7000", start, start, ttl), "another machine at the address")
}

func TestReleasedLeaseIsFreeAndStaysReleased(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	state.Apply(Record{Kind: Renew, Holder: "a1", Node: "a", Epoch: 1}, start.Add(ttl))
	assert.Assert(t, state.Claimable("b", "b1", "", start, start, ttl))
}

func TestEpochIsFoundInRenewalsWhenTheClaimIsGone(t *testing.T) {
	state := State{Next: 500}
	assert.Assert(t, state.Apply(Record{Kind: Renew, Holder: "a1", Node: "a", Epoch: 77}, start))
	assert.Equal(t, state.Epoch, int64(77))
	assert.Assert(t, !state.Claimable("b", "b1", "", start, start, ttl))
}

const quiet = 300 * time.Millisecond

func quietUntil(state *State, engine string, enginesFence bool) time.Time {
	return state.QuietUntil(engine, Quiet{Between: quiet, EnginesFence: enginesFence})
}

func orderOf(node string, epoch int64, held time.Duration, engines ...string) Record {
	return Record{Kind: Order, Node: node, Holder: node + "1", Address: addressOf(node), Epoch: epoch, Held: held, Engines: engines}
}

func renewal(node, holder string, epoch int64, held time.Duration) Record {
	return Record{Kind: Renew, Node: node, Holder: holder, Epoch: epoch, Held: held}
}

func TestQuietTimeFollowsOnlyWhereAnotherMachineOrdered(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	assert.Assert(t, quietUntil(&state, "e1", false).IsZero(), "the same machine ordered it")
	state.Apply(claim("a", "a2", 1), start)
	assert.Assert(t, !quietUntil(&state, "e1", false).After(start), "an earlier process of the same machine ordered it")
	state.Apply(claim("b", "b1", 3), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
	assert.Assert(t, quietUntil(&state, "e2", false).IsZero(), "nobody ordered it")
	state.Apply(claim("b", "b2", 4), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet), "a restart does not end the quiet time")
}

func TestOrderOfAnEarlierEpochCounts(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(ttl+quiet))
}

func TestLogProvesThatTimeHasPassed(t *testing.T) {
	var state State
	// All records are read at one moment, by a process that has just started.
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, ttl, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(renewal("b", "b1", 3, 100*time.Millisecond), start)
	state.Apply(renewal("b", "b1", 3, 200*time.Millisecond), start)
	state.Apply(renewal("b", "b1", 3, 150*time.Millisecond), start)
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(100*time.Millisecond), "200 ms are proven, once")
}

func TestProvenTimeIsNotCountedBesideTheReadersOwn(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	later := start.Add(200 * time.Millisecond)
	state.Apply(renewal("b", "b1", 3, 200*time.Millisecond), later)
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
}

func TestMissingRecordsMayHideAnOrder(t *testing.T) {
	var state State
	state.SkipTo(500, start)
	state.Apply(renewal("a", "a1", 77, 10*ttl), start)
	state.Apply(claim("b", "b1", 77), start)
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
	state.Apply(renewal("b", "b1", 502, quiet), start)
	assert.Assert(t, !quietUntil(&state, "e1", false).After(start), "the time since the gap is proven")
	state.Skip(start)
	state.Apply(renewal("b", "b1", 502, quiet), start.Add(ttl))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(ttl+quiet), "a record that cannot be read is a gap")
}

func TestHandoverNeedsNoQuietTimeWhereEnginesFence(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	state.Apply(claim("b", "b1", 1), start)
	assert.Assert(t, quietUntil(&state, "e1", true).IsZero())
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet), "a may be heard by engines without fences")
	state.Apply(orderOf("b", 4, 0, "e1"), start)
	state.Apply(claim("c", "c1", 4), start)
	assert.Equal(t, quietUntil(&state, "e1", true), start.Add(quiet), "b lost the lease")
}

func TestOldOrdersAreForgotten(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	for i := range 3 * minForgetAt {
		state.Apply(orderOf("a", 1, 0, fmt.Sprint("e", i)), start.Add(time.Duration(i)*time.Second))
	}
	assert.Assert(t, len(state.history.orders) <= minForgetAt+1)
}

func TestOrdersOfTheQuietTimeAreNeverForgotten(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	const engines = 3 * minForgetAt
	for i := range engines {
		state.Apply(orderOf("a", 1, 0, fmt.Sprint("e", i)), start)
	}
	state.Apply(claim("b", "b1", 1), start)
	for i := range engines {
		assert.Equal(t, quietUntil(&state, fmt.Sprint("e", i), false), start.Add(quiet))
	}
}

// TestEpochsRiseAndHaveOneHolder applies random records.
func TestEpochsRiseAndHaveOneHolder(t *testing.T) {
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
				t.Fatalf("epoch fell from %d to %d", before, state.Epoch)
			}
			if known, found := holders[state.Epoch]; found && known != state.Holder {
				t.Fatalf("epoch %d has the holders %s and %s", state.Epoch, known, state.Holder)
			}
			holders[state.Epoch] = state.Holder
		}
	})
}

// TestALateRecordOfAnOrderHidesNoNewerOrder: an append without an answer may take effect seconds
// later, so an Order record of an earlier holder may follow one of a newer holder, whose order is
// still the newer one.
func TestALateRecordOfAnOrderHidesNoNewerOrder(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	ordered := start.Add(ttl)
	state.Apply(orderOf("b", 2, 0, "e1"), ordered)
	state.Apply(orderOf("a", 1, 0, "e1"), ordered)
	assert.Assert(t, state.Apply(claim("a", "a1", 2), ordered))
	until := quietUntil(&state, "e1", false)
	assert.Assert(t, !until.Before(ordered.Add(quiet)), "a may order at %s, b did so at %s", until, ordered)
}

// TestAReaderAfterAGapAgreesWhoHoldsTheLease: it reads only what the log still holds. A claim takes
// effect for all readers or for none.
func TestAReaderAfterAGapAgreesWhoHoldsTheLease(t *testing.T) {
	var all, rest State
	apply := func(record Record) {
		all.Apply(record, start)
		rest.Apply(record, start)
	}
	all.Apply(claim("a", "a1", 0), start)
	all.Apply(renewal("a", "a1", 1, 0), start)
	rest.SkipTo(all.Next, start)
	// It knows no holder. If it may claim, it names the epoch that it knows.
	if !rest.Claimable("c", "c1", "", start, start, ttl) {
		return
	}
	apply(rest.NewClaim("c", "c1", ""))
	assert.Equal(t, rest.Holder, all.Holder)
	assert.Equal(t, rest.Epoch, all.Epoch)
}

// TestALateRenewalPutsNoEarlierEpochInForce: a reader after a gap learns the epoch from the first
// renewal, which may have taken effect seconds late, after another holder's claim.
func TestALateRenewalPutsNoEarlierEpochInForce(t *testing.T) {
	var all, rest State
	apply := func(record Record) {
		all.Apply(record, start)
		rest.Apply(record, start)
	}
	all.Apply(claim("a", "a1", 0), start)
	all.Apply(claim("b", "b1", 1), start)
	rest.SkipTo(all.Next, start)
	apply(renewal("a", "a1", 1, ttl))
	later := start.Add(2 * ttl)
	if rest.Claimable("c", "c1", "", later, start, ttl) {
		apply(rest.NewClaim("c", "c1", ""))
	}
	assert.Equal(t, rest.Holder, all.Holder)
	assert.Equal(t, rest.Epoch, all.Epoch)
}

// TestNoTimeIsProvenFromBeforeAnOrder: a renewal proves the time since the one before it, not
// since an order of an earlier holder whose record is between the two.
func TestNoTimeIsProvenFromBeforeAnOrder(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	ordered := start.Add(time.Second)
	state.Apply(orderOf("a", 1, 0, "e1"), ordered)
	state.Apply(renewal("b", "b1", 2, time.Second), ordered)
	until := quietUntil(&state, "e1", false)
	assert.Assert(t, !until.Before(ordered.Add(quiet)), "quiet until %s, ordered at %s", until, ordered)
}

// TestNoTimeIsProvenFromBeforeAGapEnded: a gap may hide an order right before the first record
// after it.
func TestNoTimeIsProvenFromBeforeAGapEnded(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(renewal("a", "a1", 1, 0), start)
	back := start.Add(10 * time.Second)
	state.SkipTo(state.Next+50, back)
	state.Apply(renewal("a", "a1", 1, 10*time.Second), back)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, back)
	assert.Assert(t, state.Apply(claim("b", "b1", 1), back))
	until := quietUntil(&state, "e1", false)
	assert.Assert(t, !until.Before(back.Add(quiet)), "quiet until %s, the gap ended at %s", until, back)
}

// TestRenewalsInAGapCount: a gap may hide renewals, so the time without renewals restarts after it.
func TestRenewalsInAGapCount(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(renewal("a", "a1", 1, 0), start)
	now := start.Add(ttl + 1)
	state.SkipTo(state.Next+5, now)
	assert.Assert(t, !state.Claimable("b", "b1", "", now, start, ttl), "the renewals are in the gap")
}

// TestARecordOfTheHolderHidesNoOrderOfAnother: the holder's own order may not have been sent, since the
// record's answer was lost; the other machine's, recorded just before, may have been.
func TestARecordOfTheHolderHidesNoOrderOfAnother(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(orderOf("b", 3, 0, "e1"), start.Add(quiet/3))
	assert.Equal(t, quietUntil(&state, "e1", false), start.Add(quiet))
}

// TestAnOrderOfAnEarlierProcessMayStillArrive: it has a lower fencing token than the orders of the next
// process, which waits until it must have arrived. Engines that check tokens reject it.
func TestAnOrderOfAnEarlierProcessMayStillArrive(t *testing.T) {
	const arrival = 100 * time.Millisecond
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(claim("a", "a2", 1), start)
	waits := Quiet{Between: quiet, Arrival: arrival}
	assert.Equal(t, state.QuietUntil("e1", waits), start.Add(arrival))
	waits.EnginesFence = true
	assert.Assert(t, state.QuietUntil("e1", waits).IsZero())
}

// TestAClaimCountsByItsPlace: at another offset it has no effect, whatever epoch it names.
func TestAClaimCountsByItsPlace(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	lost := state.NewClaim("b", "b1", "")
	won := state.NewClaim("c", "c1", "")
	assert.Assert(t, state.Apply(won, start))
	assert.Assert(t, !state.Apply(lost, start))
	assert.Equal(t, state.Holder, "c1")
	assert.Equal(t, state.Epoch, won.Begins)
}

// TestAReleaseBeforeAGapFreesNothing: the gap may hide a claim of another node.
func TestAReleaseBeforeAGapFreesNothing(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	back := start.Add(10 * ttl)
	state.SkipTo(state.Next+10, back)
	assert.Assert(t, !state.Claimable("b", "b1", "", back, back, ttl))
	assert.Assert(t, state.Claimable("b", "b1", "", back.Add(ttl+1), back, ttl))
}

// TestAReplacedMachineIsAnotherOne: a machine is replaced under its name while the earlier one
// still runs at another address and has ordered. The quiet time applies.
func TestAReplacedMachineIsAnotherOne(t *testing.T) {
	waits := Quiet{Between: quiet, Arrival: quiet / 3}
	var s State
	at := start
	s.Apply(s.NewClaim("a", "a1", "10.0.0.1:7000"), at)
	s.Apply(Record{Kind: Order, Holder: "a1", Node: "a", Address: "10.0.0.1:7000", Epoch: s.Epoch, Engines: []string{"e"}}, at)
	at = at.Add(quiet / 10)
	s.Apply(s.NewClaim("a", "a2", "10.0.0.2:7000"), at)
	left := s.QuietUntil("e", waits).Sub(at)
	assert.Assert(t, left > waits.Between, "another machine of the same name may order after %s", left)
}

// TestReadersAgreeWhateverTheyMissed runs several nodes on one log. Each appends on the condition that the
// log ends where it has read to, and claims or writes as its own view allows; some miss records. All that
// have since read a record of the epoch in force agree on the holder, and no record of a holder follows
// a later claim.
func TestReadersAgreeWhateverTheyMissed(t *testing.T) {
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
					t.Fatalf("%s writes in epoch %d, the newest claim began %d", name, view.Epoch, claimed)
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
			if !view.missed && view.Epoch != claimed {
				t.Fatalf("%s takes epoch %d for the one in force, it is %d", names[i], view.Epoch, claimed)
			}
		}
	})
}
