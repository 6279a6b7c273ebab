package bytebudget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestReserveRejectsBytesBeyondBudget(t *testing.T) {
	budget := New(100)
	assert.Assert(t, budget.Reserve(Bodies, 50))
	assert.Assert(t, !budget.Reserve(Bodies, 1), "above the limit of its kind")
	assert.Assert(t, budget.Reserve(Results, 50))
	assert.Assert(t, !budget.Reserve(Answers, 1))
	budget.Release(Bodies, 50)
	assert.Assert(t, budget.Reserve(Answers, 50))
}

func TestForceReserveMayExceedBudgetAndBlocksReserve(t *testing.T) {
	budget := New(100)
	budget.ForceReserve(Answers, 300)
	assert.Assert(t, budget.IsExceeded())
	assert.Assert(t, !budget.Reserve(Bodies, 1))
	budget.Release(Answers, 300)
	assert.Assert(t, !budget.IsExceeded())
	assert.Assert(t, budget.Reserve(Bodies, 1))
}

func TestReserveAdmitsOversizedRequestAlone(t *testing.T) {
	budget := New(100)
	assert.Assert(t, budget.Reserve(Bodies, 300))
	assert.Assert(t, !budget.Reserve(Bodies, 1))
}

func TestReserveMoreAdmitsGrowthOfOversizedRequestAlone(t *testing.T) {
	budget := New(100)
	assert.Assert(t, budget.Reserve(Headers, 12))
	assert.Assert(t, budget.Reserve(Bodies, 50))
	assert.Assert(t, budget.ReserveMore(Bodies, 100, 50), "others hold an eighth")
	assert.Assert(t, !budget.ReserveMore(Headers, 1, 12))
}

func TestNilBudgetIsUnlimited(t *testing.T) {
	var budget *Budget
	assert.Assert(t, budget.Reserve(Bodies, 1<<40))
	assert.Equal(t, budget.Held(Bodies), int64(0))
}

// Checks the invariant for any sequence of reservations and releases.
func TestReservedBytesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		budget := New(limit)
		var reserved [KindCount][]int64
		total := func() (sum int64) {
			for _, kind := range Kinds() {
				sum += budget.Held(kind)
			}
			return sum
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
			if len(reserved[kind]) > 0 && rapid.Bool().Draw(t, "release") {
				budget.Release(kind, reserved[kind][0])
				reserved[kind] = reserved[kind][1:]
				continue
			}
			bytes, before := rapid.Int64Range(1, 2*limit).Draw(t, "bytes"), total()
			if budget.Reserve(kind, bytes) {
				reserved[kind] = append(reserved[kind], bytes)
				assert.Assert(t, before <= limit/aloneDivisor || total() <= limit)
			} else {
				assert.Equal(t, total(), before)
			}
		}
	})
}
