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
	mu       sync.Mutex
	deny     bool
	granted  map[incarnation.ID]int
	lifetime time.Duration
}

func (l *fakeLeader) ask(_ context.Context, _ string, engines []fleet.Engine) (Permit, Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deny {
		return Permit{}, Decision{Outcome: RateLimited}
	}
	id := engines[0].Incarnation()
	l.granted[id]++
	return Permit{Engine: id, until: boottime.Now().Add(l.lifetime), now: boottime.Now}, Decision{Outcome: Granted}
}

func newTestPool(t *testing.T, leader *fakeLeader, engines ...fleet.Engine) *Pool {
	t.Helper()
	known := fleet.New()
	for _, engine := range engines {
		known.Put(engine)
	}
	return NewPool(t.Context(), PoolOptions{RequestPermit: leader.ask, Find: known.Find, Granted: func() {}})
}

var (
	coldOne = fleet.Engine{ID: "a", Service: "s", Slots: 4}
	coldTwo = fleet.Engine{ID: "b", Service: "s", Slots: 4}
)

func TestEachPermitAdmitsOneItem(t *testing.T) {
	leader := &fakeLeader{granted: make(map[incarnation.ID]int), lifetime: time.Hour}
	pool := newTestPool(t, leader, coldOne, coldTwo)
	a, b := coldOne.Incarnation(), coldTwo.Incarnation()
	_, _, outcome := pool.Admit(Items, a, fleet.Coldness{})
	assert.Equal(t, outcome, RateLimited)
	assert.Equal(t, pool.Available(a, fleet.Coldness{}), 0)
	leader.mu.Lock()
	assert.Equal(t, len(leader.granted), 0, "Admit and Available request no permits")
	leader.mu.Unlock()
	pool.Prefetch(a)
	pool.Prefetch(b)
	testwait.Until(t, "both engines have permits", func() bool {
		return pool.Available(a, fleet.Coldness{}) > 0 && pool.Available(b, fleet.Coldness{}) > 0
	})
	leader.mu.Lock()
	leader.deny = true
	leader.mu.Unlock()
	for id, available := range map[incarnation.ID]int{a: pool.Available(a, fleet.Coldness{}), b: pool.Available(b, fleet.Coldness{})} {
		for range available {
			permit, _, outcome := pool.Admit(Items, id, fleet.Coldness{})
			assert.Equal(t, outcome, Granted)
			assert.Equal(t, permit.Engine, id)
			assert.Assert(t, permit.Valid())
		}
		_, _, outcome := pool.Admit(Items, id, fleet.Coldness{})
		assert.Equal(t, outcome, RateLimited, "a permit admits one item only")
	}
}

// Guards against the use of a permit that expired before the runner's next pass.
func TestExpiredPermitAdmitsNoItem(t *testing.T) {
	leader := &fakeLeader{granted: make(map[incarnation.ID]int), lifetime: -time.Second}
	pool := newTestPool(t, leader, coldOne)
	id := coldOne.Incarnation()
	pool.Prefetch(id)
	testwait.Until(t, "a permit was granted", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.granted[id] > 0
	})
	assert.Equal(t, pool.Available(id, fleet.Coldness{}), 0)
	_, _, outcome := pool.Admit(Items, id, fleet.Coldness{})
	assert.Equal(t, outcome, RateLimited)
}
