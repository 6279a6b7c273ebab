package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

var start = time.Unix(1000, 0)

func addEngine(cell *Cell, id string, slots int) {
	status := servingEngine(id, 1, slots).status
	cell.UpdateEngine(EngineUpdate{ID: id, Status: status, Reachable: true})
}

func liveItem(id string) Item {
	return Item{
		ID: id, Service: "lookup", Model: testModel, Live: true,
		Priority: 9, Share: 1, Deadline: start.Add(time.Minute),
	}
}

func trainerItem(id, service string, expected int) Item {
	return Item{
		ID: id, Service: service, Model: testModel, Priority: 1, Share: 1,
		ExpectedTokens: expected, Deadline: start.Add(time.Minute),
	}
}

func mustEnqueue(t *testing.T, cell *Cell, items ...Item) {
	t.Helper()
	for _, item := range items {
		assert.NilError(t, cell.Enqueue(start, item))
	}
}

func dispatchIDs(cell *Cell, now time.Time) []string {
	var ids []string
	for _, assignment := range cell.Dispatch(now) {
		ids = append(ids, assignment.Item.ID)
	}
	return ids
}

func TestOrderWithinAndBetweenClasses(t *testing.T) {
	cell := NewCell(Config{})
	urgent := trainerItem("urgent", "train", 10)
	urgent.Urgent = true
	mustEnqueue(t, cell, trainerItem("short", "train", 100), trainerItem("long", "train", 900),
		urgent, liveItem("live"))
	assert.Equal(t, len(cell.Dispatch(start)), 0)
	addEngine(cell, "a", 8)
	assert.DeepEqual(t, dispatchIDs(cell, start), []string{"live", "urgent", "long", "short"})
}

func TestFairSharesByExpectedTokens(t *testing.T) {
	cell := NewCell(Config{})
	for number := range 300 {
		small := trainerItem(fmt.Sprint("s", number), "small", 100)
		large := trainerItem(fmt.Sprint("l", number), "large", 100)
		large.Share = 3
		mustEnqueue(t, cell, small, large)
	}
	addEngine(cell, "a", 200)
	counts := make(map[string]int)
	for _, assignment := range cell.Dispatch(start) {
		counts[assignment.Item.Service]++
	}
	assert.DeepEqual(t, counts, map[string]int{"small": 50, "large": 150})
}

func TestCapsAndBoundedQueue(t *testing.T) {
	cell := NewCell(Config{QueueLimit: 100})
	addEngine(cell, "a", 8)
	for number := range 2 + capQueueMinimum {
		item := trainerItem(fmt.Sprint(number), "train", 10)
		item.Cap = 2
		mustEnqueue(t, cell, item)
		cell.Dispatch(start)
	}
	assert.Equal(t, cell.Digest().Running, 2)
	capped := trainerItem("capped", "train", 10)
	capped.Cap = 2
	assert.Equal(t, errkind.KindOf(cell.Enqueue(start, capped)), errkind.CapReached)
	addEngine(cell, "a", 0)
	for number := range 100 - capQueueMinimum {
		mustEnqueue(t, cell, trainerItem(fmt.Sprint("other", number), "other", 10))
	}
	assert.Equal(t, errkind.KindOf(cell.Enqueue(start, trainerItem("full", "other", 10))), errkind.QueueFull)
	requeued := trainerItem("requeued", "other", 10)
	requeued.Requeued = true
	mustEnqueue(t, cell, requeued)
}

func TestExpireSetsRetryAfterFromDrainRate(t *testing.T) {
	cell := NewCell(Config{})
	addEngine(cell, "a", 1)
	mustEnqueue(t, cell, liveItem("first"), liveItem("second"))
	assert.DeepEqual(t, dispatchIDs(cell, start), []string{"first"})
	assert.Assert(t, cell.Finish(start, "first"))
	assert.Assert(t, !cell.Finish(start, "first"))
	addEngine(cell, "a", 0)
	expired := cell.Expire(start.Add(time.Minute))
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].Err.Kind, errkind.QueueTimeout)
	assert.Equal(t, expired[0].Err.RetryAfter, maximumRetryAfter)
	assert.Equal(t, errkind.KindOf(cell.Enqueue(start.Add(time.Hour), liveItem("late"))), errkind.QueueTimeout)
}

func TestTrainersKeepLiveReserveFree(t *testing.T) {
	cell := NewCell(Config{})
	cell.SetLiveReserve(0.25)
	addEngine(cell, "a", 4)
	for number := range 4 {
		mustEnqueue(t, cell, trainerItem(fmt.Sprint(number), "train", 10))
	}
	assert.Equal(t, len(cell.Dispatch(start)), 3)
	mustEnqueue(t, cell, liveItem("live"))
	assert.DeepEqual(t, dispatchIDs(cell, start), []string{"live"})
}

func TestItemWithoutEligibleEngineDoesNotBlockOthers(t *testing.T) {
	cell := NewCell(Config{})
	addEngine(cell, "a", 4)
	blocked := trainerItem("blocked", "train", 900)
	blocked.MinVersion = 2
	mustEnqueue(t, cell, blocked, trainerItem("free", "train", 10))
	assert.DeepEqual(t, dispatchIDs(cell, start), []string{"free"})
	assert.Assert(t, cell.Remove("blocked"))
	assert.Assert(t, !cell.Remove("free"))
}

func TestBaselinesAreFirstInFirstOut(t *testing.T) {
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyOneHop} {
		cell := NewCell(Config{Policy: policy})
		addEngine(cell, "a", 4)
		addEngine(cell, "b", 4)
		mustEnqueue(t, cell, trainerItem("first", "train", 1), liveItem("second"))
		assignments := cell.Dispatch(start)
		assert.Equal(t, assignments[0].Item.ID, "first")
		assert.Equal(t, assignments[1].EngineID == "b", policy == PolicyRoundRobin)
	}
	oneHop := NewCell(Config{Policy: PolicyOneHop})
	addEngine(oneHop, "a", 4)
	oneHop.engines[0].status.Running = 3
	assert.Equal(t, oneHop.Digest().Running, 3, "the digest counts requests of other nodes")
	_, err := ParsePolicy("best")
	assert.ErrorContains(t, err, "unknown scheduler policy")
}
