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

func claim(node, holder string, follows int64) Record {
	return Record{Kind: Claim, Node: node, Holder: holder, Epoch: follows}
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
	assert.Assert(t, !state.Claimable("b", "b1", start.Add(ttl), start, ttl))
	assert.Assert(t, state.Claimable("b", "b1", start.Add(ttl+1), start, ttl))
	// A reader that was out of reach of the log has not seen the renewals.
	backAt := start.Add(10 * ttl)
	assert.Assert(t, !state.Claimable("b", "b1", backAt.Add(ttl/2), backAt, ttl))
}

func TestRestartedMachineClaimsAtOnce(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	assert.Assert(t, state.Claimable("a", "a2", start, start, ttl))
	assert.Assert(t, !state.Claimable("a", "a1", start, start, ttl))
}

func TestReleasedLeaseIsFreeAndStaysReleased(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	state.Apply(Record{Kind: Renew, Holder: "a1", Node: "a", Epoch: 1}, start.Add(ttl))
	assert.Assert(t, state.Claimable("b", "b1", start, start, ttl))
}

func TestEpochIsFoundInRenewalsWhenTheClaimIsGone(t *testing.T) {
	state := State{Next: 500}
	assert.Assert(t, state.Apply(Record{Kind: Renew, Holder: "a1", Node: "a", Epoch: 77}, start))
	assert.Equal(t, state.Epoch, int64(77))
	assert.Assert(t, !state.Claimable("b", "b1", start, start, ttl))
}

const quiet = 300 * time.Millisecond

func orderOf(node string, epoch int64, held time.Duration, engines ...string) Record {
	return Record{Kind: Order, Node: node, Holder: node + "1", Epoch: epoch, Held: held, Engines: engines}
}

func renewal(node, holder string, epoch int64, held time.Duration) Record {
	return Record{Kind: Renew, Node: node, Holder: holder, Epoch: epoch, Held: held}
}

func TestQuietTimeFollowsOnlyWhereAnotherMachineOrdered(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	assert.Assert(t, state.QuietUntil("e1", quiet, false).IsZero(), "the same machine ordered it")
	state.Apply(claim("a", "a2", 1), start)
	assert.Assert(t, state.QuietUntil("e1", quiet, false).IsZero(), "an earlier process of the same machine ordered it")
	state.Apply(claim("b", "b1", 3), start.Add(ttl))
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(quiet))
	assert.Assert(t, state.QuietUntil("e2", quiet, false).IsZero(), "nobody ordered it")
	state.Apply(claim("b", "b2", 4), start.Add(ttl))
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(quiet), "a restart does not end the quiet time")
}

func TestOrderOfAnEarlierEpochCounts(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start.Add(ttl))
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(ttl+quiet))
}

func TestLogProvesThatTimeHasPassed(t *testing.T) {
	var state State
	// All of it is read at one moment, by a process that began just now.
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, ttl, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	state.Apply(renewal("b", "b1", 3, 100*time.Millisecond), start)
	state.Apply(renewal("b", "b1", 3, 200*time.Millisecond), start)
	state.Apply(renewal("b", "b1", 3, 150*time.Millisecond), start)
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(100*time.Millisecond), "200 ms are proven, once")
}

func TestProvenTimeIsNotCountedBesideTheReadersOwn(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(claim("b", "b1", 1), start)
	later := start.Add(200 * time.Millisecond)
	state.Apply(renewal("b", "b1", 3, 200*time.Millisecond), later)
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(quiet))
}

func TestMissingRecordsMayHideAnOrder(t *testing.T) {
	var state State
	state.SkipTo(500)
	state.Apply(renewal("a", "a1", 77, 10*ttl), start)
	state.Apply(claim("b", "b1", 77), start)
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(quiet))
	state.Apply(renewal("b", "b1", 502, quiet), start)
	assert.Assert(t, !state.QuietUntil("e1", quiet, false).After(start), "the time since the gap is proven")
	state.Skip()
	state.Apply(renewal("b", "b1", 502, quiet), start.Add(ttl))
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(ttl+quiet), "a record that cannot be read is a gap")
}

func TestHandoverNeedsNoQuietTimeWhereEnginesFence(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(orderOf("a", 1, 0, "e1"), start)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, start)
	state.Apply(claim("b", "b1", 1), start)
	assert.Assert(t, state.QuietUntil("e1", quiet, true).IsZero())
	assert.Equal(t, state.QuietUntil("e1", quiet, false), start.Add(quiet), "a may be heard by engines without fences")
	state.Apply(orderOf("b", 4, 0, "e1"), start)
	state.Apply(claim("c", "c1", 4), start)
	assert.Equal(t, state.QuietUntil("e1", quiet, true), start.Add(quiet), "b lost the lease")
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
		assert.Equal(t, state.QuietUntil(fmt.Sprint("e", i), quiet, false), start.Add(quiet))
	}
}

// TestEpochsRiseAndHaveOneHolder drives the state with random records.
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

// TestALateRecordOfAnOrderHidesNoNewerOrder: an append without an answer may be done
// seconds later, so the record of an earlier holder's order may stand after that of a
// newer holder, whose order is the newer one all the same.
func TestALateRecordOfAnOrderHidesNoNewerOrder(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	ordered := start.Add(ttl)
	state.Apply(orderOf("b", 2, 0, "e1"), ordered)
	state.Apply(orderOf("a", 1, 0, "e1"), ordered)
	assert.Assert(t, state.Apply(claim("a", "a1", 2), ordered))
	until := state.QuietUntil("e1", quiet, false)
	assert.Assert(t, !until.Before(ordered.Add(quiet)), "a may order at %s, b did so at %s", until, ordered)
}

// TestAReaderAfterAGapAgreesWhoHoldsTheLease: it reads what is still kept, the others have
// read all. A claim counts for all of them or for none.
func TestAReaderAfterAGapAgreesWhoHoldsTheLease(t *testing.T) {
	var all, rest State
	apply := func(record Record) {
		all.Apply(record, start)
		rest.Apply(record, start)
	}
	all.Apply(claim("a", "a1", 0), start)
	all.Apply(renewal("a", "a1", 1, 0), start)
	rest.SkipTo(all.Next)
	// It knows nobody. If it may claim, it names what it knows.
	if !rest.Claimable("c", "c1", start, start, ttl) {
		return
	}
	apply(claim("c", "c1", rest.Epoch))
	assert.Equal(t, rest.Holder, all.Holder)
	assert.Equal(t, rest.Epoch, all.Epoch)
}

// TestALateRenewalPutsNoEarlierEpochInForce: the reader after a gap takes the epoch from the
// first renewal, which may be one that was done seconds later, after another holder's claim.
func TestALateRenewalPutsNoEarlierEpochInForce(t *testing.T) {
	var all, rest State
	apply := func(record Record) {
		all.Apply(record, start)
		rest.Apply(record, start)
	}
	all.Apply(claim("a", "a1", 0), start)
	all.Apply(claim("b", "b1", 1), start)
	rest.SkipTo(all.Next)
	apply(renewal("a", "a1", 1, ttl))
	later := start.Add(2 * ttl)
	if rest.Claimable("c", "c1", later, start, ttl) {
		apply(claim("c", "c1", rest.Epoch))
	}
	assert.Equal(t, rest.Holder, all.Holder)
	assert.Equal(t, rest.Epoch, all.Epoch)
}

// TestNoTimeIsProvenFromBeforeAnOrder: a renewal proves the time since the one before it, not
// since an order of an earlier holder whose record stands between the two.
func TestNoTimeIsProvenFromBeforeAnOrder(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start)
	ordered := start.Add(time.Second)
	state.Apply(orderOf("a", 1, 0, "e1"), ordered)
	state.Apply(renewal("b", "b1", 2, time.Second), ordered)
	until := state.QuietUntil("e1", quiet, false)
	assert.Assert(t, !until.Before(ordered.Add(quiet)), "quiet until %s, ordered at %s", until, ordered)
}

// TestNoTimeIsProvenFromBeforeAGapEnded: the records that are missing may hide an order given
// just before the first one that is there again.
func TestNoTimeIsProvenFromBeforeAGapEnded(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(renewal("a", "a1", 1, 0), start)
	back := start.Add(10 * time.Second)
	state.SkipTo(state.Next + 50)
	state.Apply(renewal("a", "a1", 1, 10*time.Second), back)
	state.Apply(Record{Kind: Release, Holder: "a1", Node: "a", Epoch: 1}, back)
	assert.Assert(t, state.Apply(claim("b", "b1", 1), back))
	until := state.QuietUntil("e1", quiet, false)
	assert.Assert(t, !until.Before(back.Add(quiet)), "quiet until %s, the gap ended at %s", until, back)
}

// TestRenewalsInAGapCount: what is missing may hold renewals, so the time without any begins
// anew when a reader has passed over records.
func TestRenewalsInAGapCount(t *testing.T) {
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(renewal("a", "a1", 1, 0), start)
	now := start.Add(ttl + 1)
	state.SkipTo(state.Next + 5)
	assert.Assert(t, !state.Claimable("b", "b1", now, start, ttl), "the renewals are in the gap")
}
