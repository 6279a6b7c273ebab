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

// grants is a leader that grants permits until denies is set.
type grants struct {
	mu     sync.Mutex
	denies bool
	given  map[incarnation.ID]int
	life   time.Duration
}

func (g *grants) ask(_ context.Context, _ string, engines []fleet.Engine) (Permit, Denial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.denies {
		return Permit{}, Denial{Outcome: Paced}
	}
	id := engines[0].Incarnation()
	g.given[id]++
	return Permit{Engine: id, until: boottime.Now().Add(g.life), now: boottime.Now}, Denial{Outcome: Granted}
}

func stockOf(t *testing.T, leader *grants, engines ...fleet.Engine) *Stock {
	t.Helper()
	known := fleet.New()
	for _, engine := range engines {
		known.Put(engine)
	}
	return NewStock(t.Context(), StockOptions{Ask: leader.ask, Find: known.Find, Granted: func() {}})
}

var (
	coldOne = fleet.Engine{ID: "a", Service: "s", Slots: 4}
	coldTwo = fleet.Engine{ID: "b", Service: "s", Slots: 4}
)

// TestAnItemNeedsAPermitThatWasGranted: each granted permit admits one item.
func TestAnItemNeedsAPermitThatWasGranted(t *testing.T) {
	leader := &grants{given: make(map[incarnation.ID]int), life: time.Hour}
	stock := stockOf(t, leader, coldOne, coldTwo)
	a, b := coldOne.Incarnation(), coldTwo.Incarnation()
	_, _, outcome := stock.Admit(Items, a, fleet.Coldness{})
	assert.Equal(t, outcome, Paced)
	assert.Equal(t, stock.Room(a, fleet.Coldness{}), 0)
	leader.mu.Lock()
	assert.Equal(t, len(leader.given), 0, "a look alone asks for nothing")
	leader.mu.Unlock()
	stock.Want(a)
	stock.Want(b)
	testwait.Until(t, "permits for both are there", func() bool {
		return stock.Room(a, fleet.Coldness{}) > 0 && stock.Room(b, fleet.Coldness{}) > 0
	})
	leader.mu.Lock()
	leader.denies = true
	leader.mu.Unlock()
	for id, room := range map[incarnation.ID]int{a: stock.Room(a, fleet.Coldness{}), b: stock.Room(b, fleet.Coldness{})} {
		for range room {
			permit, _, outcome := stock.Admit(Items, id, fleet.Coldness{})
			assert.Equal(t, outcome, Granted)
			assert.Equal(t, permit.Engine, id)
			assert.Assert(t, permit.Open())
		}
		_, _, outcome := stock.Admit(Items, id, fleet.Coldness{})
		assert.Equal(t, outcome, Paced, "a permit lets one item start")
	}
}

// TestAPermitThatHasEndedLetsNothingStart: a permit may expire in the stock.
func TestAPermitThatHasEndedLetsNothingStart(t *testing.T) {
	leader := &grants{given: make(map[incarnation.ID]int), life: -time.Second}
	stock := stockOf(t, leader, coldOne)
	id := coldOne.Incarnation()
	stock.Want(id)
	testwait.Until(t, "a permit was granted", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.given[id] > 0
	})
	assert.Equal(t, stock.Room(id, fleet.Coldness{}), 0)
	_, _, outcome := stock.Admit(Items, id, fleet.Coldness{})
	assert.Equal(t, outcome, Paced)
}
