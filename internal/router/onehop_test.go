package router

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/routing"
)

// Self implements cluster.View.
func (f *fakeCluster) Self() cluster.Member {
	return cluster.Member{ID: "node", Address: "node", Zone: "a", State: cluster.StateAlive}
}

// Under StrategyOneHop, requests for cells of the node's own zone must not be sent to other nodes.
func TestOneHopSubmitsToOwnNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeCluster("n0", "n1")
		fake.cells[1].Cell.Zone = "b"
		router := fake.router()
		router.options.Strategy = string(routing.StrategyOneHop)
		router.options.Caller = fake
		fake.dispatchers["node"] = serve
		fake.dispatchers["n0"] = refuse(errkind.New(errkind.InvalidRequest, "not expected"))
		run := func() error {
			_, err := router.Run(t.Context(), testRequest(true), func(Piece) error { return nil })
			return err
		}
		assert.NilError(t, run())
		assert.Equal(t, fake.submitted()[0].Cell, fake.cells[0].Cell)

		fake.dispatchers["node"] = refuse(errkind.New(errkind.QueueFull, "full"))
		fake.dispatchers["n1"] = serve
		assert.NilError(t, run())
		submits := fake.submitted()
		assert.Equal(t, submits[len(submits)-1].Cell, fake.cells[1].Cell)
	})
}
