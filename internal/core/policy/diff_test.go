package policy

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

func TestDiffAndApplyChangesAreInverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := rowsGenerator().Draw(t, "before"), rowsGenerator().Draw(t, "after")
		changes := Diff(before, after)
		for _, forward := range [][]RowChange{changes, Compact(changes)} {
			rows, err := ApplyChanges(before, forward)
			assert.NilError(t, err)
			assert.Equal(t, len(Diff(rows, after)), 0)
		}
		rows, err := ApplyChanges(after, invertChanges(changes))
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(rows, before)), 0)
	})
}

func TestApplyChangesRejectsMismatch(t *testing.T) {
	row := Row{Service: "a", Pool: "p"}
	other := Row{Service: "a", Pool: "q"}
	for name, changes := range map[string][]RowChange{
		"twice":        {{Service: "a", After: &row}, {Service: "a", After: &other}},
		"absent":       {{Service: "b"}},
		"misplaced":    {{Service: "b", After: &row}},
		"row changed":  {{Service: "a", Before: &other, After: &row}},
		"row missing":  {{Service: "b", Before: &Row{Service: "b"}, After: &Row{Service: "b"}}},
		"stale remove": {{Service: "a", Before: &other}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ApplyChanges([]Row{row}, changes)
			assert.ErrorIs(t, err, ErrChangeMismatch)
		})
	}
}

func TestConflictsListsConcurrentChanges(t *testing.T) {
	row := func(service, pool string) Row { return Row{Service: service, Pool: pool} }
	base := []Row{row("same", "1"), row("theirs", "1"), row("both", "1"), row("agreed", "1"), row("gone", "1")}
	current := []Row{row("same", "1"), row("theirs", "2"), row("both", "2"), row("agreed", "2"), row("new", "1")}
	proposed := []Row{row("same", "9"), row("theirs", "1"), row("both", "3"), row("agreed", "2"), row("gone", "1")}
	var services []string
	for _, conflict := range Conflicts(base, current, proposed) {
		services = append(services, conflict.Service)
	}
	assert.DeepEqual(t, services, []string{"both", "gone", "new", "theirs"})
}
