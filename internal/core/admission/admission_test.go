package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// fill starts calls until the window admits no more and returns their number.
func fill(w *Window, capacity Capacity) int {
	began := 0
	for w.Admits(Capacity{Slots: capacity.Slots, Busy: capacity.Busy + began}) && began < 100 {
		w.Began()
		began++
	}
	return began
}

func TestAdmitsLeavesHalfOfTheSlotsFree(t *testing.T) {
	w := NewWindow()
	for range 200 {
		w.Began()
		w.Answered()
	}
	assert.Equal(t, fill(w, Capacity{Slots: 24}), 12)
}

func TestAdmitsCountsBusySlots(t *testing.T) {
	w := NewWindow()
	for range 200 {
		w.Began()
		w.Answered()
	}
	assert.Equal(t, fill(w, Capacity{Slots: 24, Busy: 9}), 3)
}

func TestAdmitsOneCallWithoutKnownSlots(t *testing.T) {
	assert.Equal(t, fill(NewWindow(), Capacity{}), 1)
}

func TestRefusalsLowerAndAnswersRaiseTheLimit(t *testing.T) {
	w := NewWindow()
	assert.Equal(t, fill(w, Capacity{Slots: 100}), initialLimit)
	for range initialLimit {
		w.Refused()
	}
	assert.Equal(t, fill(w, Capacity{Slots: 100}), 1)
	w.Answered()
	assert.Equal(t, fill(w, Capacity{Slots: 100}), 2)
}

func TestFailedLeavesTheLimitUnchanged(t *testing.T) {
	w := NewWindow()
	before := fill(w, Capacity{Slots: 100})
	for range before {
		w.Failed()
	}
	assert.Equal(t, w.InFlight(), 0)
	assert.Equal(t, fill(w, Capacity{Slots: 100}), before)
}
