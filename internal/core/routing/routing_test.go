package routing

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
)

func testCell(zone string, index, slots, running int, version uint64) Cell {
	return Cell{Digest: &message.CellDigest{
		Cell:    message.CellID{Zone: zone, Pool: "pool", Index: index},
		Engines: 1,
		Slots:   slots,
		Running: running,
		Models:  []message.ModelCount{{ModelVersion: engine.ModelVersion{Model: "model", Version: version}, Engines: 1}},
	}}
}

func pointers(cells []Cell) []*Cell {
	list := make([]*Cell, len(cells))
	for index := range cells {
		list[index] = &cells[index]
	}
	return list
}

func indexes(cells []*Cell) []int {
	list := []int{}
	for _, cell := range cells {
		list = append(list, cell.Digest.Cell.Index)
	}
	return list
}

func TestEligibleFilters(t *testing.T) {
	otherPool := testCell("a", 1, 8, 0, 5)
	otherPool.Digest.Cell.Pool = "other"
	stale := testCell("a", 4, 8, 0, 5)
	stale.Age = time.Minute
	empty := testCell("a", 5, 8, 0, 5)
	empty.Digest.Models[0].Engines = 0
	cells := []Cell{testCell("a", 0, 8, 0, 5), otherPool, testCell("c", 2, 8, 0, 5), testCell("b", 3, 8, 0, 4), stale, empty}
	query := Query{Pool: "pool", Model: "model", MinVersion: 5, Zones: []string{"a", "b"}}
	assert.DeepEqual(t, indexes(Eligible(cells, query, time.Second)), []int{0})
	query.MinVersion = 0
	assert.DeepEqual(t, indexes(Eligible(cells, query, time.Second)), []int{0, 3})
	query.Zones = nil
	query.Excluded = map[message.CellID]struct{}{cells[0].Digest.Cell: {}}
	assert.DeepEqual(t, indexes(Eligible(cells, query, time.Second)), []int{2, 3})
	query.Zones = []string{"a"}
	assert.DeepEqual(t, indexes(Eligible(cells, query, time.Second)), []int{4})
}

func TestNearestSpillsOverWhenFull(t *testing.T) {
	locality := Locality{Zone: "a", Region: "west", Regions: map[string]string{"b": "west", "c": "east"}}
	cells := []Cell{testCell("a", 0, 4, 4, 1), testCell("b", 1, 4, 3, 1), testCell("c", 2, 4, 0, 1)}
	assert.DeepEqual(t, indexes(Nearest(pointers(cells), &locality)), []int{1})
	cells[1].Pending = 1
	assert.DeepEqual(t, indexes(Nearest(pointers(cells), &locality)), []int{2})
	cells[2].Digest.Queued = 4
	assert.DeepEqual(t, indexes(Nearest(pointers(cells), &locality)), []int{0, 1, 2})
	assert.Assert(t, Score(&cells[0], &locality) > Score(&cells[1], &locality), "equal load: nearer cell scores higher")
	assert.Assert(t, Score(&cells[1], &locality) > Score(&cells[2], &locality))
}

func TestAffinityIndexSkipsOverloadedCells(t *testing.T) {
	var cells []Cell
	for index := range 8 {
		cells = append(cells, testCell("a", index, 16, 2, 1))
	}
	prompt := strings.Repeat("parcel 0412 ", 30)
	key := PrefixKey("model", prompt)
	assert.Equal(t, PrefixKey("model", prompt+" and more"), key)
	assert.Assert(t, PrefixKey("other", prompt) != key)
	assert.Equal(t, PrefixKey("model", "short"), uint64(0))

	preferred := AffinityIndex(pointers(cells), key)
	cells[(preferred+1)%8].Digest.Running = 5
	assert.Equal(t, AffinityIndex(pointers(cells), key), preferred)
	cells[preferred].Digest.Running = 15
	next := AffinityIndex(pointers(cells), key)
	assert.Assert(t, next != preferred)
	cells[preferred].Digest.Running = 2
	assert.Equal(t, AffinityIndex(pointers(cells), key), preferred)
	for index := range cells {
		cells[index].Digest.Running = 16
	}
	assert.Equal(t, AffinityIndex(pointers(cells), key), -1)
}

func TestPick(t *testing.T) {
	locality := Locality{Zone: "a"}
	cells := []Cell{testCell("a", 0, 8, 7, 1), testCell("a", 1, 8, 1, 1), testCell("a", 2, 8, 5, 1), testCell("b", 3, 8, 0, 1)}
	pick := func(strategy Strategy, seed uint64) int {
		cell, found := NewPicker(strategy, locality, seed).Pick(pointers(cells), Query{})
		assert.Assert(t, found)
		return cell.Digest.Cell.Index
	}
	counts := make(map[int]int)
	for seed := range uint64(200) {
		choice := pick(StrategyPowerOfTwo, seed)
		assert.Equal(t, pick(StrategyPowerOfTwo, seed), choice)
		counts[choice]++
		assert.Equal(t, pick(StrategyLeastLoad, seed), 1)
	}
	assert.Equal(t, counts[0], 0, "the most loaded of three cells is never the better of two")
	assert.Equal(t, counts[3], 0, "nearer cells have free slots")
	assert.Assert(t, counts[1] > counts[2])
	picker := NewPicker(StrategyRoundRobin, locality, 1)
	for range 2 {
		for _, wanted := range []int{1, 2, 3, 0} {
			cell, _ := picker.Pick(pointers(cells), Query{})
			assert.Equal(t, cell.Digest.Cell.Index, wanted)
		}
	}
	_, found := picker.Pick(nil, Query{})
	assert.Assert(t, !found)
	assert.Assert(t, !Strategy("fastest").Valid())
}

func TestTrackerResetsPendingOnNewDigest(t *testing.T) {
	tracker := NewTracker()
	start := time.Unix(1000, 0)
	digest := testCell("a", 0, 8, 1, 1).Digest
	digest.Sequence = 1
	tracker.Update([]*message.CellDigest{digest}, start)
	tracker.Submitted(digest.Cell)
	tracker.Submitted(digest.Cell)
	tracker.Refused(digest.Cell)
	cells := tracker.Update([]*message.CellDigest{digest}, start.Add(3*time.Second))
	assert.Equal(t, cells[0].Pending, 1)
	assert.Equal(t, cells[0].Age, 3*time.Second)
	digest = testCell("a", 0, 8, 1, 1).Digest
	digest.Sequence = 2
	cells = tracker.Update([]*message.CellDigest{digest}, start.Add(4*time.Second))
	assert.Equal(t, cells[0].Pending, 0)
	assert.Equal(t, cells[0].Age, time.Duration(0))
	tracker.Submitted(digest.Cell)
	tracker.Update(nil, start.Add(5*time.Second))
	cells = tracker.Update([]*message.CellDigest{digest}, start.Add(6*time.Second))
	assert.Equal(t, cells[0].Pending, 0)
}

func TestTargetVersionAndMinVersion(t *testing.T) {
	unavailable := testCell("a", 2, 8, 0, 40).Digest
	unavailable.Models[0].Engines = 0
	digests := []message.CellDigest{*testCell("a", 0, 8, 0, 7).Digest, *testCell("b", 1, 8, 0, 9).Digest, *unavailable}
	row := policy.Row{Pool: "pool", Model: "model", Staleness: 2}
	assert.Equal(t, TargetVersion(row, digests), uint64(9))
	assert.Equal(t, MinVersion(row, digests), uint64(7))
	row.Version = 8
	assert.Equal(t, MinVersion(row, digests), uint64(6))
	row.Staleness = -1
	assert.Equal(t, MinVersion(row, digests), uint64(0))
	assert.Equal(t, MinVersion(policy.Row{Pool: "pool", Model: "model", Staleness: 100}, digests), uint64(0))
	assert.Equal(t, MinVersion(policy.Row{Pool: "pool", Model: "unseen"}, digests), uint64(0))
}

func TestAvoidListExpiresEntries(t *testing.T) {
	list := NewAvoidList()
	start := time.Unix(1000, 0)
	cell := message.CellID{Zone: "a", Pool: "pool"}
	list.Add("lookup", cell, start.Add(time.Second))
	assert.Equal(t, len(list.Cells("permit", start)), 0)
	assert.Equal(t, len(list.Cells("lookup", start)), 1)
	assert.Equal(t, len(list.Cells("lookup", start.Add(time.Second))), 0)
	assert.Equal(t, len(list.Cells("lookup", start)), 0)
}
