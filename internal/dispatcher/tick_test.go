package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A dispatcher without requests wakes up seldom; a request brings the short
// tick, which deadlines and starved classes need.
func TestTickIsShortWhileThereAreRequests(t *testing.T) {
	h := newHarness(t, "e1")
	assert.Equal(t, h.dispatcher.tick(time.Now()), reconcileInterval)
	h.dispatcher.linger = time.Millisecond
	hold := make(chan struct{})
	h.generate["e1"] = inTurn(upTo(5, 1, hold), upTo(6, 1, nil))
	received := h.submit(submission("r1"))
	h.eventually(func() bool { return h.dispatcher.tick(time.Now()) == tickInterval })
	close(hold)
	assert.NilError(t, received.wait(t))
	h.eventually(func() bool { return h.dispatcher.tick(time.Now()) == reconcileInterval })
}

func TestARequestEndsTheLongTick(t *testing.T) {
	h := newHarness(t, "e1")
	idle := New(h.dispatcher.options)
	idle.reconcile(time.Now())
	row := h.rows[0]
	for _, id := range []string{"r1", "r2"} {
		_, err := idle.findOrOpen(testCell).submit(submission(id), row, 0)
		assert.NilError(t, err)
		// Only the first request of a cell can find a long tick.
		assert.Equal(t, len(idle.wake), 1)
	}
	idle.stop()
	idle.running.Wait()
}
