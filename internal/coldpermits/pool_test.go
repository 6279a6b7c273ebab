package coldpermits

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/boottime"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// fakeLeader grants permits with the given lifetime until deny is set.
type fakeLeader struct {
	mu      sync.Mutex
	deny    bool
	granted map[incarnation.ID]int
	life    time.Duration
}

func (g *fakeLeader) ask(_ context.Context, _ string, engines []fleet.Engine) (Permit, Denial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deny {
		return Permit{}, Denial{Outcome: RateLimited}
	}
	id := engines[0].Incarnation()
	g.granted[id]++
	return Permit{Engine: id, until: boottime.Now().Add(g.life), now: boottime.Now}, Denial{Outcome: Granted}
}

func newTestStock(t *testing.T, leader *fakeLeader, engines ...fleet.Engine) *Pool {
	t.Helper()
	known := fleet.New()
	for _, engine := range engines {
		known.Put(engine)
	}
	return NewPool(t.Context(), PoolOptions{Ask: leader.ask, Find: known.Find, Granted: func() {}})
}

var (
	coldOne = fleet.Engine{ID: "a", Service: "s", Slots: 4}
	coldTwo = fleet.Engine{ID: "b", Service: "s", Slots: 4}
)

func TestEachPermitAdmitsOneItem(t *testing.T) {
	leader := &fakeLeader{granted: make(map[incarnation.ID]int), life: time.Hour}
	stock := newTestStock(t, leader, coldOne, coldTwo)
	a, b := coldOne.Incarnation(), coldTwo.Incarnation()
	_, _, outcome := stock.Admit(Items, a, fleet.Coldness{})
	assert.Equal(t, outcome, RateLimited)
	assert.Equal(t, stock.Available(a, fleet.Coldness{}), 0)
	leader.mu.Lock()
	assert.Equal(t, len(leader.granted), 0, "Admit and Available request no permits")
	leader.mu.Unlock()
	stock.Prefetch(a)
	stock.Prefetch(b)
	testwait.Until(t, "both engines have permits", func() bool {
		return stock.Available(a, fleet.Coldness{}) > 0 && stock.Available(b, fleet.Coldness{}) > 0
	})
	leader.mu.Lock()
	leader.deny = true
	leader.mu.Unlock()
	for id, room := range map[incarnation.ID]int{a: stock.Available(a, fleet.Coldness{}), b: stock.Available(b, fleet.Coldness{})} {
		for range room {
			permit, _, outcome := stock.Admit(Items, id, fleet.Coldness{})
			assert.Equal(t, outcome, Granted)
			assert.Equal(t, permit.Engine, id)
			assert.Assert(t, permit.Open())
		}
		_, _, outcome := stock.Admit(Items, id, fleet.Coldness{})
		assert.Equal(t, outcome, RateLimited, "a permit admits one item only")
	}
}

// Guards against the use of a permit that expired before the runner's next pass.
func TestExpiredPermitAdmitsNoItem(t *testing.T) {
	leader := &fakeLeader{granted: make(map[incarnation.ID]int), life: -time.Second}
	stock := newTestStock(t, leader, coldOne)
	id := coldOne.Incarnation()
	stock.Prefetch(id)
	testwait.Until(t, "a permit was granted", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.granted[id] > 0
	})
	assert.Equal(t, stock.Available(id, fleet.Coldness{}), 0)
	_, _, outcome := stock.Admit(Items, id, fleet.Coldness{})
	assert.Equal(t, outcome, RateLimited)
}
