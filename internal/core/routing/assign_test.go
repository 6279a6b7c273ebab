package routing

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/message"
)

func names(prefix string, count int) []string {
	list := make([]string, count)
	for index := range list {
		list[index] = fmt.Sprintf("%s-%d", prefix, index)
	}
	return list
}

// cellOfEngine inverts an assignment and checks that each engine is in exactly one cell.
func cellOfEngine(t *testing.T, cells map[message.CellID][]string) map[string]message.CellID {
	t.Helper()
	byEngine := make(map[string]message.CellID)
	for cell, engines := range cells {
		for _, engineID := range engines {
			_, twice := byEngine[engineID]
			assert.Assert(t, !twice, engineID)
			byEngine[engineID] = cell
		}
	}
	return byEngine
}

func TestAssignCellsMovesFewEngines(t *testing.T) {
	engines := names("engine", 160)
	before := cellOfEngine(t, AssignCells("tumwater", "valuation", engines))
	assert.Equal(t, len(before), 160)

	reversed := slices.Clone(engines)
	slices.Reverse(reversed)
	assert.DeepEqual(t, cellOfEngine(t, AssignCells("tumwater", "valuation", reversed)), before)

	fewer := cellOfEngine(t, AssignCells("tumwater", "valuation", engines[:150]))
	for engineID, cell := range fewer {
		assert.Equal(t, cell, before[engineID], "the number of cells is the same")
	}

	after := cellOfEngine(t, AssignCells("tumwater", "valuation", names("engine", 161)))
	moved := 0
	for engineID, cell := range before {
		if after[engineID] != cell {
			assert.Equal(t, after[engineID].Index, 10, "an engine moves to the new cell only")
			moved++
		}
	}
	assert.Assert(t, moved < 160/4, "moved %d", moved)
	assert.Equal(t, len(AssignCells("tumwater", "valuation", nil)), 0)
}

func TestCellOwnerUnaffectedByOtherMembersLeaving(t *testing.T) {
	members := names("node", 12)
	for index := range 50 {
		cell := message.CellID{Zone: "galway", Pool: "reply", Index: index}
		owner := CellOwner(cell, members)
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		assert.Equal(t, CellOwner(cell, reversed), owner)
		for _, leaving := range members {
			rest := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == leaving })
			if leaving == owner {
				assert.Assert(t, CellOwner(cell, rest) != owner)
				continue
			}
			assert.Equal(t, CellOwner(cell, rest), owner)
		}
	}
	assert.Equal(t, CellOwner(message.CellID{}, nil), "")
}
