package batchplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against items of earlier jobs that take the slot of an item while its run is being stopped for a move.
func TestMovedItemKeepsItsSlot(t *testing.T) {
	plan, engines := mixedFleet(t, 8, 2)
	plan.AddJob(Job{ID: "a", Model: "m"})
	moved := sized(plan, "b", 0, 110)
	plan.Add(moved)
	for i := range engines {
		engines[i].Slots = 1
	}
	engines[0].Usable, engines[1].Usable = false, false
	assert.Equal(t, len(plan.Assign(now, engines)), 1)
	engines[0].Usable = true
	at := now.Add(300 * time.Millisecond)
	moves := plan.MovesToFast(at, []MoveCandidate{{Key: moved.Key, Model: "m", Started: now}}, engines)
	assert.Equal(t, len(moves), 1)
	plan.Prefer(moves[0].Key, moves[0].To)
	for i := range 40 {
		plan.Add(sized(plan, "a", i, 110))
	}
	plan.Assign(at, engines)
	plan.Ended(moved.Key)
	plan.Add(moved)
	plan.Assign(at.Add(time.Millisecond), engines)
	assert.Equal(t, plan.running[moved.Key].engine, moves[0].To)
}
