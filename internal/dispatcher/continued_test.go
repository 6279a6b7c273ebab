package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/engine"
)

// A request continued from another dispatcher must run before new ones, because it has already waited
// and made progress.
func TestContinuedRequestRunsBeforeNewRequests(t *testing.T) {
	h := newHarness(t, "a")
	h.change("a", func(status *engine.Status) { status.MaxBatch = 1 })
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Slots == 1 })
	hold := make(chan struct{})
	h.generate["a"] = inSequence(tokensUpTo(3, 1, hold), wholeAnswer(1))
	running := h.submit(submission("running"))
	h.eventually(func() bool { return len(running.tokens()) == 3 })
	fresh := h.submit(submission("fresh"))
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Queued == 1 })
	submit := submission("continued")
	submit.Continued = true
	continued := h.submit(submit)
	h.eventually(func() bool { return h.dispatcher.CellStatuses()[0].Queued == 2 })

	close(hold)
	for _, received := range []*recordedAnswer{running, fresh, continued} {
		assert.NilError(t, received.wait(t))
	}
	var order []string
	for _, request := range h.requestsTo("a") {
		if request.ResumeFrom == nil {
			order = append(order, request.RequestID)
		}
	}
	assert.DeepEqual(t, order, []string{"running", "continued", "fresh"})
}
