package batchplan

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// randomLoad runs items of random jobs on engines whose paces differ, in rounds of 50 ms.
type randomLoad struct {
	plan    *Plan
	random  *rand.Rand
	engines []Engine
	paces   []time.Duration
	now     time.Time
	running []simulatedRun
	jobs    int
	digest  hash.Hash
}

type simulatedRun struct {
	item   Item
	engine int
	ends   time.Time
	events int64
}

func newRandomLoad(paceOf func(engine int) time.Duration) *randomLoad {
	s := &randomLoad{
		plan: New(), random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), digest: sha256.New(),
	}
	for i := range 24 {
		s.engines = append(s.engines, Engine{
			ID: engineID(fmt.Sprint("e", i)), Service: "s", Slots: 4, Tokens: 8000, Usable: true,
			Versions: map[string]int64{"m0": int64(1 + i%3), "m1": int64(1 + i%2)},
		})
		s.paces = append(s.paces, paceOf(i))
	}
	return s
}

// prepare, if set, is applied to each new item and its plan.
func (s *randomLoad) addJob(prepare func(*Plan, *Item)) {
	job := fmt.Sprint("j", s.jobs)
	s.jobs++
	lengths := make([]int, 40)
	for i := range lengths {
		lengths[i] = 70 * s.random.IntN(40)
	}
	model := fmt.Sprint("m", s.random.IntN(2))
	s.plan.AddJob(Job{ID: job, Model: model, Priority: s.random.IntN(2), Step: int64(s.jobs), Lengths: lengths})
	for i, length := range lengths {
		item := Item{
			Key: Key{Job: job, Item: i}, Service: "s", Model: model, MinVersion: 1 + s.random.Int64N(2),
			Group: fmt.Sprint(job, i/8), Length: length, Tokens: 276 + length,
		}
		if prepare != nil {
			prepare(s.plan, &item)
		}
		s.plan.Add(item)
	}
}

// round ends runs, assigns waiting items and adds the assignments to the digest.
func (s *randomLoad) round() {
	s.now = s.now.Add(50 * time.Millisecond)
	for i := range s.engines {
		s.engines[i].Usable = s.random.IntN(20) > 0
		s.engines[i].Cold, s.engines[i].MaxStarts = s.random.IntN(20) == 0, 1
		s.engines[i].Loading = ""
		if s.random.IntN(10) == 0 {
			s.engines[i].Loading = "m0"
		}
	}
	s.running = slices.DeleteFunc(s.running, func(run simulatedRun) bool {
		s.plan.ObservePace(s.engines[run.engine].ID, s.paces[run.engine])
		if run.ends.After(s.now) {
			return false
		}
		if s.random.IntN(10) == 0 {
			s.plan.Ended(run.item.Key)
			run.item.Avoid, run.item.NotBefore = s.engines[run.engine].ID, s.now.Add(60*time.Millisecond)
			s.plan.Add(run.item)
			return true
		}
		s.plan.ObserveLength(run.item.Length, run.events)
		s.plan.Remove(run.item.Key)
		return true
	})
	for _, each := range s.plan.Assign(s.now, s.engines) {
		index := slices.IndexFunc(s.engines, func(engine Engine) bool { return engine.ID == each.Engine })
		events := int64(1 + each.Item.Length/70 + s.random.IntN(20))
		s.running = append(s.running, simulatedRun{
			item: each.Item, engine: index, events: events, ends: s.now.Add(time.Duration(events) * s.paces[index]),
		})
		fmt.Fprintln(s.digest, s.now.UnixMilli(), each.Item.Key, each.Engine, each.Running, each.Pace)
	}
}

// digestOf returns the digest of all assignments of 400 rounds.
func (s *randomLoad) digestOf(prepare func(*Plan, *Item), eachRound func(*Plan, time.Time)) string {
	for round := range 400 {
		if round%20 == 0 {
			s.addJob(prepare)
		}
		if eachRound != nil {
			eachRound(s.plan, s.now)
		}
		s.round()
	}
	return fmt.Sprintf("%x", s.digest.Sum(nil))[:16]
}

func alike(engine int) time.Duration { return time.Duration(20+engine%6) * time.Millisecond }

func quarterFast(engine int) time.Duration {
	if engine%4 == 0 {
		return 28 * time.Millisecond
	}
	return 60 * time.Millisecond
}

// Digests of the assignments without speed classes, equal at commit 9c98f1bd for the same items.
const (
	alikeDigest       = "c94a06ddf92b496d"
	quarterFastDigest = "375aaa1a5ad10ce8"
)

// Guards against assignments that change although engines have no classes: neither with the setting uniform, nor with
// engines that are alike.
func TestAssignmentsWithoutClassesAreUnchanged(t *testing.T) {
	assert.Equal(t, newRandomLoad(alike).digestOf(nil, nil), alikeDigest)
	assert.Equal(t, newRandomLoad(quarterFast).digestOf(nil, nil), quarterFastDigest)
	withInputs := func(plan *Plan, item *Item) {
		item.Prompt, item.Events = 276, 3
		plan.SetDueAfter(item.Key.Job, 7500*time.Millisecond)
	}
	classify := func(plan *Plan, now time.Time) {
		plan.Classify(now)
		for key := range plan.running {
			plan.RecordEvents(key, 5)
		}
	}
	assert.Equal(t, newRandomLoad(quarterFast).digestOf(withInputs, nil), quarterFastDigest)
	assert.Equal(t, newRandomLoad(alike).digestOf(withInputs, classify), alikeDigest)
	assert.Assert(t, newRandomLoad(quarterFast).digestOf(withInputs, classify) != quarterFastDigest,
		"the classes of these engines have no effect, so the comparison proves nothing")
}
