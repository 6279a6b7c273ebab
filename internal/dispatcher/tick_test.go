package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An idle dispatcher must use the long tick interval, one with requests the short one that deadlines
// and starved classes need.
func TestTickIntervalIsShortWithRequests(t *testing.T) {
	h := newHarness(t, "e1")
	assert.Equal(t, h.dispatcher.tick(time.Now()), reconcileInterval)
	h.dispatcher.linger = time.Millisecond
	hold := make(chan struct{})
	h.generate["e1"] = inSequence(tokensUpTo(5, 1, hold), tokensUpTo(6, 1, nil))
	received := h.submit(submission("r1"))
	h.eventually(func() bool { return h.dispatcher.tick(time.Now()) == tickInterval })
	close(hold)
	assert.NilError(t, received.wait(t))
	h.eventually(func() bool { return h.dispatcher.tick(time.Now()) == reconcileInterval })
}

func TestFirstRequestEndsLongTick(t *testing.T) {
	h := newHarness(t, "e1")
	idle := New(h.dispatcher.options)
	idle.reconcile(time.Now())
	row := h.rows[0]
	for _, id := range []string{"r1", "r2"} {
		_, err := idle.findOrOpen(testCell).submit(submission(id), row, 0)
		assert.NilError(t, err)
		// Only the first request of a cell can arrive during a long tick interval.
		assert.Equal(t, len(idle.wake), 1)
	}
	idle.stop()
	idle.running.Wait()
}
