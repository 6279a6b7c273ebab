package batchplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/corkpulley/corkpulley/internal/core/incarnation"
)

const (
	passInterval = 50 * time.Millisecond
	// waitBound is how long an item may wait while an engine could take it.
	waitBound = 5 * time.Second
)

// untilStarted repeats passes until an item starts, and returns when it did. before is called ahead of each pass.
func untilStarted(t *testing.T, plan *Plan, engines []Engine, key Key, before func(at time.Time)) time.Duration {
	t.Helper()
	for at := now; at.Before(now.Add(2 * waitBound)); at = at.Add(passInterval) {
		if before != nil {
			before(at)
		}
		plan.Assign(at, engines)
		if plan.isRunning(key) {
			return at.Sub(now)
		}
	}
	t.Fatalf("the item did not start within %s, reason %s", 2*waitBound, plan.waits[key].Reason)
	return 0
}

// Guards against an item that waits for ever because the engine of its failed run is the only one that serves its version.
func TestItemStartsAtAvoidedEngineThatAloneServesIt(t *testing.T) {
	for name, change := range map[string]func(*Item, []Engine){
		"minimum version": func(_ *Item, engines []Engine) { engines[1].Versions["m"] = 2 },
		"own version": func(item *Item, engines []Engine) {
			item.SameVersion, item.Events, item.IdleSince = 3, 100, now
			engines[1].Versions["m"] = 4
		},
		"service": func(_ *Item, engines []Engine) { engines[1].Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			plan := New()
			engines := []Engine{engine("a", 2, 3), engine("b", 2, 3)}
			for i := range engines {
				plan.ObservePace(engines[i].ID, time.Second)
			}
			failed := item("j", 0, 10)
			failed.Avoid = engines[0].ID
			change(&failed, engines)
			plan.Add(failed)
			assert.Equal(t, untilStarted(t, plan, engines, failed.Key, nil), time.Duration(0))
			assert.Equal(t, plan.running[failed.Key].engine, engines[0].ID)
		})
	}
}

// Guards against an item that waits for ever because all engines but the one of its failed run are full.
func TestItemAvoidsEngineForBoundedTime(t *testing.T) {
	plan := New()
	engines := []Engine{engine("a", 2, 3), engine("b", 1, 3)}
	plan.Add(item("other", 0, 10))
	plan.Assign(now, engines[1:])
	failed := item("j", 0, 10)
	failed.Avoid = engines[0].ID
	plan.Add(failed)
	plan.Assign(now, engines)
	assert.Equal(t, waitReasonOf(t, plan), EngineAvoided)
	started := untilStarted(t, plan, engines, failed.Key, nil)
	assert.Assert(t, started >= maxSoftWait && started <= maxSoftWait+passInterval, "%s", started)
}

// Guards against an item that waits for ever for a faster engine whose slots others take each time.
func TestItemWaitsForFasterEngineForBoundedTime(t *testing.T) {
	plan := New()
	engines := []Engine{engine("fast", 2, 3), engine("slow", 4, 3)}
	plan.ObservePace(engines[0].ID, 10*time.Millisecond)
	plan.ObservePace(engines[1].ID, time.Second)
	plan.ObserveLength(10, 10)
	plan.AddJob(Job{ID: "urgent", Model: "m"})
	plan.AddJob(Job{ID: "j", Model: "m", Priority: 1})
	plan.Add(item("urgent", 0, 10))
	plan.Add(item("urgent", 1, 10))
	plan.Assign(now, engines)
	deferred := item("j", 0, 100)
	plan.Add(deferred)
	next := 0
	started := untilStarted(t, plan, engines, deferred.Key, func(time.Time) {
		plan.Remove(Key{"urgent", next})
		next++
		plan.Add(item("urgent", next+1, 10))
	})
	assert.Equal(t, plan.running[deferred.Key].engine, engines[1].ID)
	assert.Assert(t, started >= maxSoftWait && started <= maxSoftWait+passInterval, "%s", started)
}

// Guards against a large item for which small ones never leave enough memory.
func TestLargeItemStartsAlthoughSmallOnesKeepComing(t *testing.T) {
	const smallRunTime = 2 * time.Second
	plan := New()
	engines := []Engine{engine("a", 20, 3), engine("b", 20, 3)}
	for i := range engines {
		engines[i].Tokens = 500
	}
	plan.AddJob(Job{ID: "small", Model: "m"})
	plan.AddJob(Job{ID: "large", Model: "m", Priority: 1})
	next, startedAt := 0, make(map[Key]time.Time)
	addSmall := func(at time.Time) {
		for key, began := range startedAt {
			if at.Sub(began) >= smallRunTime {
				plan.Remove(key)
				delete(startedAt, key)
			}
		}
		if next%2 == 0 || len(startedAt) < 8 {
			small := item("small", next, 10)
			small.Tokens = 200
			plan.Add(small)
		}
		next++
		for _, assigned := range plan.Assign(at, engines) {
			startedAt[assigned.Item.Key] = at
		}
	}
	for at := now.Add(-smallRunTime); at.Before(now); at = at.Add(passInterval) {
		addSmall(at)
	}
	large := item("large", 0, 10)
	large.Tokens = 900
	plan.Add(large)
	started := untilStarted(t, plan, engines, large.Key, addSmall)
	assert.Assert(t, started <= waitBound, "%s", started)
	for _, reserved := range plan.reservations {
		assert.Assert(t, reserved != large.Key)
	}
}

// Guards against a reservation that outlives the item for which it was made.
func TestReservationEndsWithItsItem(t *testing.T) {
	plan := New()
	only := engine("a", 4, 3)
	only.Tokens = 500
	small := item("j", 0, 10)
	small.Tokens = 900
	plan.Add(small)
	plan.Assign(now, []Engine{only})
	large := item("j", 1, 10)
	large.Tokens = 900
	plan.Add(large)
	at := now
	for ; at.Before(now.Add(maxSoftWait + 2*passInterval)); at = at.Add(passInterval) {
		plan.Assign(at, []Engine{only})
	}
	other := item("j", 2, 10)
	plan.Add(other)
	plan.Assign(at, []Engine{only})
	assert.Equal(t, plan.waits[other.Key].Reason, EngineReserved)
	plan.Remove(large.Key)
	plan.Assign(at, []Engine{only})
	assert.Assert(t, plan.isRunning(other.Key))
}

// Guards against items that wait while all engines of their service failed recently.
func TestItemStartsAtFailingEngineAfterBoundedTime(t *testing.T) {
	failing := engine("a", 2, 3)
	failing.Usable, failing.Suspected = false, true
	leaving := engine("b", 2, 3)
	leaving.Usable, leaving.Leaving = false, true
	plan := New()
	plan.Add(item("j", 0, 10))
	plan.Assign(now, []Engine{failing, leaving})
	assert.Equal(t, waitReasonOf(t, plan), EngineFailing)
	started := untilStarted(t, plan, []Engine{failing, leaving}, Key{"j", 0}, nil)
	assert.Assert(t, started >= maxSoftWait && started <= maxSoftWait+passInterval, "%s", started)
	assert.Equal(t, plan.running[Key{"j", 0}].engine, failing.ID)
}

// Guards against a failing engine that gets items although others serve them, which may be full for a while.
func TestOverdueItemDoesNotStartAtFailingEngineBesideOthers(t *testing.T) {
	failing, other := engine("a", 2, 3), engine("b", 1, 3)
	failing.Usable, failing.Suspected = false, true
	plan := New()
	plan.Add(item("j", 0, 10))
	assert.Equal(t, len(plan.Assign(now, []Engine{other})), 1)
	overdue := item("j", 1, 10)
	plan.Add(overdue)
	plan.waits[overdue.Key] = Wait{softTime: maxSoftWait}
	assert.Equal(t, len(plan.Assign(now, []Engine{failing, other})), 0)
	assert.Equal(t, plan.waits[overdue.Key].Reason, NoSlot)
	plan.Ended(Key{"j", 0})
	plan.Assign(now, []Engine{failing, other})
	assert.Equal(t, plan.running[overdue.Key].engine, other.ID)
}

// waitSimulation plays passes over items that run for a while, and engines that fail at times.
type waitSimulation struct {
	plan    *Plan
	engines []Engine
	endsAt  map[Key]time.Time
	// idleSince holds since when each waiting item could have been taken by an engine, without a break.
	idleSince map[Key]time.Time
}

// couldRun reports whether an engine may run an item, regardless of its load. One that has recently failed may if no
// other serves the item.
func (s *waitSimulation) couldRun(engine *Engine, item *Item) bool {
	key := class{service: item.Service, model: item.Model, minVersion: item.MinVersion}
	served := slices.ContainsFunc(s.engines, func(each Engine) bool { return each.eligible(key) })
	version := engine.Versions[item.Model]
	return (engine.Usable || engine.Suspected && !served) && engine.Service == item.Service && version >= item.MinVersion &&
		(item.SameVersion == 0 || version == item.SameVersion)
}

// hasRoom reports whether an engine could take the item now while less than half of the slots are taken.
func (s *waitSimulation) hasRoom(item *Item) bool {
	slots, running, room := 0, 0, false
	for i := range s.engines {
		engine := &s.engines[i]
		if !s.couldRun(engine, item) {
			continue
		}
		busy := s.plan.Running(engine.ID)
		slots, running = slots+engine.Slots, running+busy
		fits := engine.Tokens == 0 || busy == 0 || s.plan.reservedTokens[engine.ID]+item.Tokens <= memoryOvercommit*engine.Tokens
		room = room || busy < engine.Slots && fits
	}
	return room && 2*running < slots
}

func (s *waitSimulation) step(t *rapid.T, at time.Time) {
	for key, end := range s.endsAt {
		if !at.Before(end) {
			s.plan.Remove(key)
			delete(s.endsAt, key)
		}
	}
	for _, assigned := range s.plan.Assign(at, s.engines) {
		pace := max(assigned.Pace, 10*time.Millisecond)
		s.endsAt[assigned.Item.Key] = at.Add(min(time.Duration(max(assigned.Item.Length, 1))*pace, 2*time.Second))
		delete(s.idleSince, assigned.Item.Key)
	}
	for key, item := range s.plan.waiting {
		if !s.hasRoom(&item) {
			delete(s.idleSince, key)
			continue
		}
		since, known := s.idleSince[key]
		if !known {
			s.idleSince[key] = at
			continue
		}
		if wait := s.plan.waits[key]; at.Sub(since) > waitBound {
			t.Fatalf("item %+v waits since %s with free engines, reason %s since %s", item, at.Sub(since), wait.Reason, at.Sub(wait.Since))
		}
	}
}

// Guards against items that wait for any reason while engines that could run them are less than half full.
func TestNoItemWaitsLongWhileEnginesHaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &waitSimulation{plan: New(), endsAt: make(map[Key]time.Time), idleSince: make(map[Key]time.Time)}
		if rapid.Bool().Draw(t, "due order") {
			s.plan.OrderByDue()
		}
		var ids []incarnation.ID
		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			each := engine(fmt.Sprint("e", i), rapid.IntRange(1, 6).Draw(t, "slots"), rapid.Int64Range(3, 4).Draw(t, "version"))
			each.Tokens = rapid.SampledFrom([]int{0, 300}).Draw(t, "memory")
			s.engines, ids = append(s.engines, each), append(ids, each.ID)
			s.plan.ObservePace(each.ID, time.Duration(rapid.IntRange(1, 60).Draw(t, "pace"))*time.Millisecond)
		}
		s.plan.ObserveLength(10, 10)
		ids = append(ids, incarnation.ID{})
		next := 0
		for tick := range 240 {
			at := now.Add(time.Duration(tick) * passInterval)
			if rapid.IntRange(0, 3).Draw(t, "arrives") == 0 && next < 60 {
				each := item("j", next, rapid.IntRange(1, 80).Draw(t, "length"))
				each.MinVersion = 3
				each.Tokens = rapid.SampledFrom([]int{20, 100, 550, 900}).Draw(t, "tokens")
				each.Avoid = rapid.SampledFrom(ids).Draw(t, "avoid")
				each.WaitingSince = at
				if rapid.IntRange(0, 4).Draw(t, "bound") == 0 {
					each.SameVersion, each.Events, each.IdleSince = 4, 50, at
				}
				next++
				s.plan.Add(each)
			}
			if rapid.IntRange(0, 30).Draw(t, "fails") == 0 {
				failing := &s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "failing")]
				failing.Suspected, failing.Usable = !failing.Suspected, failing.Suspected
			}
			s.step(t, at)
		}
	})
}
