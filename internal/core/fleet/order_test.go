package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// comparisonsOfAList counts the comparisons with which a list of engines is put in order.
func comparisonsOfAList(engines int) int {
	comparisons := 0
	compare := func(a, b string) int {
		comparisons++
		return strings.Compare(a, b)
	}
	var ids []string
	for number := range engines {
		// Entries come in an order of their own.
		ids = insertOrdered(ids, fmt.Sprintf("e%06d", number*7919%engines), compare)
	}
	if !slices.IsSorted(ids) || len(ids) != engines {
		panic("the list is not in order")
	}
	return comparisons
}

// TestReadingTheListGrowsAboutAsTheList: twice the engines cost hardly more than twice the comparisons.
func TestReadingTheListGrowsAboutAsTheList(t *testing.T) {
	const engines = 5_000
	once, twice := comparisonsOfAList(engines), comparisonsOfAList(2*engines)
	assert.Assert(t, float64(twice) < 2.3*float64(once), "%d comparisons, %d for twice the engines", once, twice)
	assert.Assert(t, once < 15*engines, "%d comparisons for %d engines", once, engines)
}

// TestAnEngineIsListedOnceAndLeavesItsPlace: the order holds while engines come and go.
func TestAnEngineIsListedOnceAndLeavesItsPlace(t *testing.T) {
	f := New()
	for _, id := range []string{"c", "a", "b", "a"} {
		f.Put(Engine{ID: id, Service: "s"})
	}
	assert.DeepEqual(t, f.byService["s"], []string{"a", "b", "c"})
	f.Remove("b")
	assert.DeepEqual(t, f.byService["s"], []string{"a", "c"})
}
