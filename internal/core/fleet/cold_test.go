package fleet

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/routes"
)

var slow = routes.SlowStart{Period: 3 * time.Second, RatePerSecond: 7.9}

// pacedFleet is a fleet whose service has a slow start.
func pacedFleet(engines ...Engine) *Fleet {
	f := fleetOf(engines...)
	f.SetSlowStarts(map[string]routes.SlowStart{"s": slow})
	return f
}

func coldReason(f *Fleet, engine string, at time.Time) string {
	found, _ := f.Cold(named(engine), at)
	return found.Reason.String()
}

func toldCold(id string) Engine {
	engine := listed(id, "z")
	engine.ColdUntil = now.Add(time.Second)
	return engine
}

func TestAnEngineIsColdForAsLongAsItsEntrySays(t *testing.T) {
	f := pacedFleet(toldCold("a"))
	assert.Equal(t, coldReason(f, "a", now), "told_cold")
	assert.Equal(t, coldReason(f, "a", now.Add(time.Second)), "")
	f.SetSlowStarts(nil)
	assert.Equal(t, coldReason(f, "a", now), "", "a service without a bound")
}

func TestADoubtfulEngineIsColdForThePeriod(t *testing.T) {
	f := pacedFleet()
	f.MarkDoubtful(named("a"), FirstSeen, now)
	f.Put(listed("a", "z"))
	assert.Equal(t, coldReason(f, "a", now.Add(slow.Period-1)), "first_seen")
	assert.Equal(t, coldReason(f, "a", now.Add(slow.Period)), "")
}

func TestTheEnginesOfAZoneThatReturnsAreInDoubt(t *testing.T) {
	f := pacedFleet(listed("a", "z1"), listed("b", "z2"))
	f.MarkZoneDoubtful("z2", ZoneReturned, now)
	assert.Equal(t, coldReason(f, "a", now), "")
	assert.Equal(t, coldReason(f, "b", now), "zone_returned")
}

// TestAnEngineOutOfReachIsColdForThePeriodAfterItWasHeardAgain: it may have started at any moment
// until then.
func TestAnEngineOutOfReachIsColdForThePeriodAfterItWasHeardAgain(t *testing.T) {
	f := pacedFleet(listed("a", "z"))
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: now, Failed: true, Unreached: true})
	later := now.Add(time.Minute)
	assert.Equal(t, coldReason(f, "a", later), "unreached")
	f.Heard(named("a"), later)
	f.Heard(named("a"), later.Add(time.Second))
	assert.Equal(t, coldReason(f, "a", later.Add(slow.Period-1)), "unreached")
	assert.Equal(t, coldReason(f, "a", later.Add(slow.Period)), "")
}

// TestAnEngineThatGoesOnWithItsOtherStreamsHasNotStartedAgain, but one that was sent something after the
// loss may have, and so may one whose last events are only read late.
func TestAnEngineThatGoesOnWithItsOtherStreamsHasNotStartedAgain(t *testing.T) {
	f := pacedFleet(listed("a", "z"))
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: now, Failed: true, Unreached: true})
	before, after := now.Add(-time.Second), now.Add(time.Second)
	f.Continues(named("a"), now, after)
	f.Continues(named("a"), before, now)
	assert.Equal(t, coldReason(f, "a", after), "unreached")
	f.Continues(named("a"), before, after)
	assert.Equal(t, coldReason(f, "a", after), "")
	f.MarkDoubtful(named("a"), ZoneReturned, now)
	f.Continues(named("a"), before, after)
	assert.Equal(t, coldReason(f, "a", after), "zone_returned", "it may be cold without a start")
}

func TestAnEngineThatRefusedAnItemIsColdUntilItRunsOne(t *testing.T) {
	f := pacedFleet(listed("a", "z"))
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: now, RefusedItem: true})
	assert.Equal(t, coldReason(f, "a", now), "refused_item")
	f.Heard(named("a"), now.Add(time.Millisecond))
	assert.Equal(t, coldReason(f, "a", now.Add(time.Millisecond)), "")
}

func TestARefusalDoesNotHideAnotherDoubt(t *testing.T) {
	f := pacedFleet(listed("a", "z"))
	f.MarkDoubtful(named("a"), FirstSeen, now)
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: now, RefusedItem: true})
	f.Heard(named("a"), now)
	assert.Equal(t, coldReason(f, "a", now), "first_seen")
}

func TestWarmEnginesArePreferredUnlessAllAreFull(t *testing.T) {
	f := pacedFleet(listed("a", "z"), toldCold("b"))
	for range 4 {
		choice, _ := f.Choose(Query{Service: "s", Now: now})
		assert.Equal(t, choice.Engine.ID, "a")
		assert.Assert(t, !choice.Cold)
		f.Began(named("a"))
	}
	choice, _ := f.Choose(Query{Service: "s", Now: now})
	assert.Equal(t, choice.Engine.ID, "b")
	assert.Assert(t, choice.Cold)
	choice, _ = f.Choose(Query{Service: "s", Now: now, WithoutCold: true})
	assert.Equal(t, choice.Engine.ID, "a", "what the cold one may not take")
	_, found := f.Choose(Query{Service: "s", Now: now, WithoutCold: true, Tried: []string{"a"}})
	assert.Assert(t, !found)
}

// TestAnEngineThatWasOutOfReachIsTriedAgain though others have places: it would count as cold for good.
func TestAnEngineThatWasOutOfReachIsTriedAgain(t *testing.T) {
	f := pacedFleet(listed("a", "z"), listed("b", "z"))
	f.Began(named("a"))
	f.Began(named("b"))
	f.Ended(named("b"), Outcome{At: now, Failed: true, Unreached: true})
	choose := func(at time.Time) Choice {
		choice, _ := f.Choose(Query{Service: "s", Now: at})
		return choice
	}
	assert.Equal(t, choose(now.Add(slow.Period-1)).Engine.ID, "a")
	due := choose(now.Add(slow.Period))
	assert.Equal(t, due.Engine.ID, "b")
	assert.Assert(t, due.Cold)
	f.Heard(named("b"), now.Add(slow.Period))
	assert.Equal(t, choose(now.Add(slow.Period)).Engine.ID, "a")
	assert.Assert(t, !choose(now.Add(2*slow.Period)).Cold)
}

func TestColdCandidatesComeBestFirst(t *testing.T) {
	f := pacedFleet(toldCold("a"), toldCold("b"), toldCold("c"), listed("d", "z"))
	f.Began(named("a"))
	query := Query{Service: "s", Now: now, Tried: []string{"c"}}
	engines := f.ColdCandidates(query, 5)
	assert.Equal(t, len(engines), 2)
	assert.Equal(t, engines[0].ID, "b")
	assert.Equal(t, len(f.ColdCandidates(query, 1)), 1)
	choice, found := f.ChoiceOf(engines[1], query, 2)
	assert.Assert(t, found)
	assert.Equal(t, choice.Engine.ID, "a")
	f.Remove("a")
	_, found = f.ChoiceOf(engines[1], query, 2)
	assert.Assert(t, !found)
}

func TestDoubtsOfEnginesThatAreGoneAreForgotten(t *testing.T) {
	f := pacedFleet(listed("a", "z"))
	f.MarkDoubtful(named("a"), ZoneReturned, now)
	assert.Equal(t, len(f.ColdEngines(now)), 1)
	f.Remove("a")
	assert.Equal(t, len(f.ColdEngines(now.Add(markLead))), 0)
	assert.Equal(t, len(f.cold.doubts), 1, "it may be put back the next moment")
	f.ColdEngines(now.Add(markLead + 1))
	assert.Equal(t, len(f.cold.doubts), 0)
}

// TestAServiceWithoutSlowStartIsChosenForAsBefore: each request of every service goes this way.
func TestAServiceWithoutSlowStartIsChosenForAsBefore(t *testing.T) {
	var engines []Engine
	for i := range 64 {
		engines = append(engines, listed(strconv.Itoa(i), "z"))
	}
	f := fleetOf(engines...)
	query := Query{Service: "s", Now: now}
	filtered := testing.AllocsPerRun(100, func() { f.filter(query, false) })
	assert.Equal(t, testing.AllocsPerRun(100, func() { f.Choose(query) }), filtered)
}

// TestADoubtOutlastsALossOfContact: that the engine goes on says nothing of whether it is cold without a start.
func TestADoubtOutlastsALossOfContact(t *testing.T) {
	f := pacedFleet(listed("a", "z"))
	began, lost := now.Add(time.Millisecond), now.Add(time.Second)
	f.MarkDoubtful(named("a"), ZoneReturned, now)
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: lost, Failed: true, Unreached: true})
	assert.Equal(t, coldReason(f, "a", lost), "unreached")
	f.Continues(named("a"), began, lost.Add(time.Second))
	assert.Equal(t, coldReason(f, "a", now.Add(slow.Period-1)), "zone_returned")
	assert.Equal(t, coldReason(f, "a", now.Add(slow.Period)), "")
}

// TestAnEngineOutOfReachStaysInDoubtThoughItsZoneReturns: nothing was heard of it by then.
func TestAnEngineOutOfReachStaysInDoubtThoughItsZoneReturns(t *testing.T) {
	for _, mark := range []func(*Fleet){
		func(f *Fleet) { f.MarkZoneDoubtful("z", ZoneReturned, now.Add(time.Second)) },
		func(f *Fleet) { f.MarkDoubtful(named("a"), FirstSeen, now.Add(time.Second)) },
	} {
		f := pacedFleet(listed("a", "z"))
		f.Began(named("a"))
		f.Ended(named("a"), Outcome{At: now, Failed: true, Unreached: true})
		mark(f)
		assert.Equal(t, coldReason(f, "a", now.Add(time.Minute)), "unreached")
	}
}

// TestTheLaterEndOfTwoDoubtsHolds where the engine was heard before its zone returned.
func TestTheLaterEndOfTwoDoubtsHolds(t *testing.T) {
	f := pacedFleet(listed("a", "z"))
	f.Began(named("a"))
	f.Ended(named("a"), Outcome{At: now, Failed: true, Unreached: true})
	f.Heard(named("a"), now)
	returned := now.Add(time.Second)
	f.MarkZoneDoubtful("z", ZoneReturned, returned)
	assert.Equal(t, coldReason(f, "a", now.Add(slow.Period)), "zone_returned")
	assert.Equal(t, coldReason(f, "a", returned.Add(slow.Period)), "")
}
