package weights

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

// TestPartsThatCannotHearEachOtherDoNotFight has two nodes that reach one log
// and not each other: each takes the other for gone.
func TestPartsThatCannotHearEachOtherDoNotFight(t *testing.T) {
	left, right := newWorld(t, row(2, 0)), newWorld(t, row(2, 0))
	right.log = left.log
	left.setMembers("", "n1")
	right.setMembers("", "n2")
	first := left.node(t, "n1")
	waitOwned(t, first, 1)
	second := right.node(t, "n2")
	waitOwned(t, second, 1)
	waitOwned(t, first, 0)

	// Each node looks every 10 ms: without a delay they would claim in turn.
	const observed = 2 * time.Second
	time.Sleep(observed)
	log := logservice.NewHTTP(left.log, http.DefaultClient)
	batch, err := log.Read(context.Background(), StreamName("m"), 0, 1000, 0)
	assert.NilError(t, err)
	assert.Assert(t, batch.End < 10, "%d records", batch.End)
}
