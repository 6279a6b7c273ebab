package lease

import (
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

func TestQuietTimeFollowsAChangeOfMachine(t *testing.T) {
	const quiet = 300 * time.Millisecond
	var state State
	state.Apply(claim("a", "a1", 0), start)
	assert.Assert(t, state.QuietUntil(quiet, true).IsZero(), "nobody ordered before")
	state.Apply(claim("a", "a2", 1), start)
	assert.Assert(t, state.QuietUntil(quiet, true).IsZero(), "the same machine ordered before")
	state.Apply(claim("b", "b1", 2), start.Add(ttl))
	assert.Equal(t, state.QuietUntil(quiet, true), start.Add(quiet))
	state.Apply(claim("b", "b2", 3), start.Add(ttl))
	assert.Equal(t, state.QuietUntil(quiet, true), start.Add(quiet), "a restart does not end the quiet time")
	for range 4 {
		state.Apply(Record{Kind: Renew, Holder: "b2", Node: "b", Epoch: 4}, start)
	}
	assert.Assert(t, state.QuietUntil(quiet, true).IsZero(), "four renewals prove that the time has passed")
}

func TestHandoverNeedsNoQuietTimeWhereEnginesFence(t *testing.T) {
	const quiet = 300 * time.Millisecond
	var state State
	state.Apply(claim("a", "a1", 0), start)
	state.Apply(claim("b", "b1", 1), start.Add(ttl))
	state.Apply(Record{Kind: Release, Holder: "b1", Node: "b", Epoch: 2}, start.Add(ttl))
	state.Apply(claim("c", "c1", 2), start.Add(2*ttl))
	assert.Equal(t, state.QuietUntil(quiet, true), start.Add(quiet), "only a, which lost the lease, counts")
	assert.Equal(t, state.QuietUntil(quiet, false), start.Add(ttl+quiet), "b may be heard by engines without fences")
}

// TestEpochsRiseAndHaveOneHolder drives the state with random records.
func TestEpochsRiseAndHaveOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state State
		holders := map[int64]string{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			holder := rapid.SampledFrom([]string{"a1", "a2", "b1", "c1"}).Draw(t, "holder")
			record := Record{
				Kind: rapid.SampledFrom([]RecordKind{Claim, Renew, Release}).Draw(t, "kind"), Holder: holder,
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
