package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// insertComparisons counts the comparisons for reading a list of the given number of engines.
func insertComparisons(engines int) int {
	comparisons := 0
	compare := func(a, b string) int {
		comparisons++
		return strings.Compare(a, b)
	}
	var ids []string
	for i := range engines {
		// Entries arrive unsorted.
		ids = insertSorted(ids, fmt.Sprintf("e%06d", i*7919%engines), compare)
	}
	if !slices.IsSorted(ids) || len(ids) != engines {
		panic("insertSorted returned an unsorted or incomplete list")
	}
	return comparisons
}

// Guards against sorting the whole list for each engine.
func TestInsertComparisonsGrowAlmostLinearly(t *testing.T) {
	const engines = 5_000
	once, twice := insertComparisons(engines), insertComparisons(2*engines)
	assert.Assert(t, float64(twice) < 2.3*float64(once), "%d comparisons, %d for twice the engines", once, twice)
	assert.Assert(t, once < 15*engines, "%d comparisons for %d engines", once, engines)
}

func TestServiceIndexStaysSortedWithoutDuplicates(t *testing.T) {
	f := New()
	for _, id := range []string{"c", "a", "b", "a"} {
		f.Put(Engine{ID: id, Service: "s"})
	}
	assert.DeepEqual(t, f.byService["s"], []string{"a", "b", "c"})
	f.Remove("b")
	assert.DeepEqual(t, f.byService["s"], []string{"a", "c"})
}
