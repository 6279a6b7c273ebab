package fleet

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/routes"
)

var slowStart = routes.SlowStart{Period: 3 * time.Second, RatePerSecond: 7.9}

// slowStartFleet returns a fleet whose service has a slow start.
func slowStartFleet(engines ...Engine) *Fleet {
	f := fleetOf(engines...)
	f.SetSlowStarts(map[string]routes.SlowStart{"s": slowStart})
	return f
}

func coldReason(f *Fleet, engine string, at time.Time) string {
	found, _ := f.Cold(incarnationOf(engine), at)
	return found.Reason.String()
}

func coldEngine(id string) Engine {
	engine := testEngine(id, "z")
	engine.ColdUntil = now.Add(time.Second)
	return engine
}

func TestEngineIsColdUntilTheTimeInItsEntry(t *testing.T) {
	f := slowStartFleet(coldEngine("a"))
	assert.Equal(t, coldReason(f, "a", now), "told_cold")
	assert.Equal(t, coldReason(f, "a", now.Add(time.Second)), "")
	f.SetSlowStarts(nil)
	assert.Equal(t, coldReason(f, "a", now), "", "no slow start configured")
}

func TestMarkedEngineIsColdForSlowStartPeriod(t *testing.T) {
	f := slowStartFleet()
	f.MarkPossiblyCold(incarnationOf("a"), FirstSeen, now)
	f.Put(testEngine("a", "z"))
	assert.Equal(t, coldReason(f, "a", now.Add(slowStart.Period-1)), "first_seen")
	assert.Equal(t, coldReason(f, "a", now.Add(slowStart.Period)), "")
}

func TestZoneMarkAppliesOnlyToEnginesOfZone(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z1"), testEngine("b", "z2"))
	f.MarkZonePossiblyCold("z2", ZoneReturned, now)
	assert.Equal(t, coldReason(f, "a", now), "")
	assert.Equal(t, coldReason(f, "b", now), "zone_returned")
}

// The engine may have restarted at any time before its first response.
func TestUnreachedEngineIsColdForSlowStartPeriodAfterFirstResponse(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"))
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: now, Failed: true, Unreached: true})
	later := now.Add(time.Minute)
	assert.Equal(t, coldReason(f, "a", later), "unreached")
	f.RecordResponse(incarnationOf("a"), later)
	f.RecordResponse(incarnationOf("a"), later.Add(time.Second))
	assert.Equal(t, coldReason(f, "a", later.Add(slowStart.Period-1)), "unreached")
	assert.Equal(t, coldReason(f, "a", later.Add(slowStart.Period)), "")
}

// A stream opened after the loss, or events read late, do not rule out a restart.
func TestStreamProgressClearsUnreachedOnlyIfStreamSpansTheLoss(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"))
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: now, Failed: true, Unreached: true})
	before, after := now.Add(-time.Second), now.Add(time.Second)
	f.RecordStreamProgress(incarnationOf("a"), now, after)
	f.RecordStreamProgress(incarnationOf("a"), before, now)
	assert.Equal(t, coldReason(f, "a", after), "unreached")
	f.RecordStreamProgress(incarnationOf("a"), before, after)
	assert.Equal(t, coldReason(f, "a", after), "")
	f.MarkPossiblyCold(incarnationOf("a"), ZoneReturned, now)
	f.RecordStreamProgress(incarnationOf("a"), before, after)
	assert.Equal(t, coldReason(f, "a", after), "zone_returned", "the mark does not depend on a restart")
}

func TestRefusedItemIsClearedByResponse(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"))
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: now, RefusedItem: true})
	assert.Equal(t, coldReason(f, "a", now), "refused_item")
	f.RecordResponse(incarnationOf("a"), now.Add(time.Millisecond))
	assert.Equal(t, coldReason(f, "a", now.Add(time.Millisecond)), "")
}

func TestRefusedItemDoesNotReplaceOtherMark(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"))
	f.MarkPossiblyCold(incarnationOf("a"), FirstSeen, now)
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: now, RefusedItem: true})
	f.RecordResponse(incarnationOf("a"), now)
	assert.Equal(t, coldReason(f, "a", now), "first_seen")
}

func TestChoosePrefersWarmEnginesUnlessAllAreFull(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"), coldEngine("b"))
	for range 4 {
		choice, _ := f.Choose(Query{Service: "s", Now: now})
		assert.Equal(t, choice.Engine.ID, "a")
		assert.Assert(t, !choice.Cold)
		f.RequestStarted(incarnationOf("a"))
	}
	choice, _ := f.Choose(Query{Service: "s", Now: now})
	assert.Equal(t, choice.Engine.ID, "b")
	assert.Assert(t, choice.Cold)
	choice, _ = f.Choose(Query{Service: "s", Now: now, ExcludeCold: true})
	assert.Equal(t, choice.Engine.ID, "a", "cold engines are excluded")
	_, found := f.Choose(Query{Service: "s", Now: now, ExcludeCold: true, Tried: []string{"a"}})
	assert.Assert(t, !found)
}

// Guards against an engine that stays cold because it is never tried while others have free slots.
func TestChooseProbesUnreachedEngineAfterSlowStartPeriod(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"), testEngine("b", "z"))
	f.RequestStarted(incarnationOf("a"))
	f.RequestStarted(incarnationOf("b"))
	f.RequestEnded(incarnationOf("b"), Outcome{At: now, Failed: true, Unreached: true})
	choose := func(at time.Time) Choice {
		choice, _ := f.Choose(Query{Service: "s", Now: at})
		return choice
	}
	assert.Equal(t, choose(now.Add(slowStart.Period-1)).Engine.ID, "a")
	due := choose(now.Add(slowStart.Period))
	assert.Equal(t, due.Engine.ID, "b")
	assert.Assert(t, due.Cold)
	f.RecordResponse(incarnationOf("b"), now.Add(slowStart.Period))
	assert.Equal(t, choose(now.Add(slowStart.Period)).Engine.ID, "a")
	assert.Assert(t, !choose(now.Add(2*slowStart.Period)).Cold)
}

func TestColdCandidatesAreSortedByExpectedTime(t *testing.T) {
	f := slowStartFleet(coldEngine("a"), coldEngine("b"), coldEngine("c"), testEngine("d", "z"))
	f.RequestStarted(incarnationOf("a"))
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

func TestColdMarksOfUnlistedEnginesArePruned(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"))
	f.MarkPossiblyCold(incarnationOf("a"), ZoneReturned, now)
	assert.Equal(t, len(f.ColdEngines(now)), 1)
	f.Remove("a")
	assert.Equal(t, len(f.ColdEngines(now.Add(unlistedMarkTTL))), 0)
	assert.Equal(t, len(f.cold.marks), 1, "the engine may be listed again")
	f.ColdEngines(now.Add(unlistedMarkTTL + 1))
	assert.Equal(t, len(f.cold.marks), 0)
}

// Guards the request path of services without a slow start against allocations for cold engines.
func TestChooseWithoutSlowStartAllocatesNoMoreThanFilter(t *testing.T) {
	var engines []Engine
	for i := range 64 {
		engines = append(engines, testEngine(strconv.Itoa(i), "z"))
	}
	f := fleetOf(engines...)
	query := Query{Service: "s", Now: now}
	filtered := testing.AllocsPerRun(100, func() { f.filter(query, false) })
	assert.Equal(t, testing.AllocsPerRun(100, func() { f.Choose(query) }), filtered)
}

// A continued stream rules out a restart, but not the reason of another mark.
func TestZoneReturnedMarkSurvivesClearedUnreached(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"))
	began, lost := now.Add(time.Millisecond), now.Add(time.Second)
	f.MarkPossiblyCold(incarnationOf("a"), ZoneReturned, now)
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: lost, Failed: true, Unreached: true})
	assert.Equal(t, coldReason(f, "a", lost), "unreached")
	f.RecordStreamProgress(incarnationOf("a"), began, lost.Add(time.Second))
	assert.Equal(t, coldReason(f, "a", now.Add(slowStart.Period-1)), "zone_returned")
	assert.Equal(t, coldReason(f, "a", now.Add(slowStart.Period)), "")
}

func TestUnreachedMarkSurvivesLaterMarks(t *testing.T) {
	for _, mark := range []func(*Fleet){
		func(f *Fleet) { f.MarkZonePossiblyCold("z", ZoneReturned, now.Add(time.Second)) },
		func(f *Fleet) { f.MarkPossiblyCold(incarnationOf("a"), FirstSeen, now.Add(time.Second)) },
	} {
		f := slowStartFleet(testEngine("a", "z"))
		f.RequestStarted(incarnationOf("a"))
		f.RequestEnded(incarnationOf("a"), Outcome{At: now, Failed: true, Unreached: true})
		mark(f)
		assert.Equal(t, coldReason(f, "a", now.Add(time.Minute)), "unreached")
	}
}

func TestEngineIsColdUntilLastOfTwoMarksEnds(t *testing.T) {
	f := slowStartFleet(testEngine("a", "z"))
	f.RequestStarted(incarnationOf("a"))
	f.RequestEnded(incarnationOf("a"), Outcome{At: now, Failed: true, Unreached: true})
	f.RecordResponse(incarnationOf("a"), now)
	returned := now.Add(time.Second)
	f.MarkZonePossiblyCold("z", ZoneReturned, returned)
	assert.Equal(t, coldReason(f, "a", now.Add(slowStart.Period)), "zone_returned")
	assert.Equal(t, coldReason(f, "a", returned.Add(slowStart.Period)), "")
}
