package batchrun

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/quarantine"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// submitSized hands in a job whose items are expected to take so many tokens each.
func (w *world) submitSized(id string, tokens int, items ...string) {
	record := batch.JobRecord{ID: id, Model: "m", MinVersion: 1}
	for _, item := range items {
		record.Items = append(record.Items, batch.ItemRecord{ID: item, Group: "g", Prompt: tokens, Tokens: tokens})
	}
	w.jobs.apply(batch.Record{Job: &record})
}

// endingEngines end the streams of the first items together, once all of these have begun.
type endingEngines struct {
	*fakeEngines
	begun atomic.Int64
	items int64
	all   chan struct{}
}

func (e *endingEngines) Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error) {
	begun := e.begun.Add(1)
	if begun > e.items {
		return e.fakeEngines.Stream(ctx, engine, call)
	}
	if begun == e.items {
		close(e.all)
	}
	select {
	case <-e.all:
	case <-ctx.Done():
	}
	return nil, &RefusedError{Refusal: Broken, ConnectionLost: true, Detail: "EOF"}
}

// lossesOf runs items of a size at one engine that ends under all of them once, and returns how many of these ends
// were held against an item.
func lossesOf(t *testing.T, tokens int, items ...string) int {
	t.Helper()
	w := newWorld(t, "a")
	w.route.EngineTokens = 1000
	guard := &fakeGuard{standing: map[quarantine.Fingerprint]quarantine.Standing{}}
	w.guard = guard
	for _, item := range items {
		w.engines.events[item] = 3
	}
	w.leadWith(&endingEngines{fakeEngines: w.engines, items: int64(len(items)), all: make(chan struct{})})
	w.submitSized("j", tokens, items...)
	w.awaitResults(len(items))
	return len(guard.lost())
}

// TestTheEndOfAnEngineForWantOfMemoryIsNoItemsFault: two items of 600 tokens do not fit into 1000.
func TestTheEndOfAnEngineForWantOfMemoryIsNoItemsFault(t *testing.T) {
	assert.Equal(t, lossesOf(t, 600, "x", "y"), 0)
}

// TestTheEndOfAnEngineWithRoomIsHeldAgainstItsItems: they fit together.
func TestTheEndOfAnEngineWithRoomIsHeldAgainstItsItems(t *testing.T) {
	assert.Equal(t, lossesOf(t, 400, "x", "y"), 2)
}

// TestAnItemThatDoesNotFitByItselfIsHeldToBlame: no room would have helped.
func TestAnItemThatDoesNotFitByItselfIsHeldToBlame(t *testing.T) {
	assert.Equal(t, lossesOf(t, 1200, "x"), 1)
}

// TestEnginesThatEndCrowdedUnderOneItemAgainAndAgainAreHeldAgainstIt: it is not sent on and on.
func TestEnginesThatEndCrowdedUnderOneItemAgainAndAgainAreHeldAgainstIt(t *testing.T) {
	w := newWorld(t, "a")
	w.route.EngineTokens = 1000
	w.engines.refuse = func(string, Call) *RefusedError {
		return &RefusedError{Refusal: Broken, ConnectionLost: true, Detail: "EOF"}
	}
	guard := &fakeGuard{standing: map[quarantine.Fingerprint]quarantine.Standing{}}
	w.guard = guard
	runner, _ := w.lead()
	w.submitSized("j", 600, "x", "y")
	testwait.Until(t, "an end that is held against an item", func() bool { return len(guard.lost()) > 0 })
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for _, ends := range runner.crowdedEnds {
		assert.Assert(t, ends <= maxCrowdedEnds)
	}
}
