package batchrun

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/batchjobs"
	"github.com/corkpulley/corkpulley/internal/core/admission"
	"github.com/corkpulley/corkpulley/internal/core/batch"
	"github.com/corkpulley/corkpulley/internal/core/fleet"
	"github.com/corkpulley/corkpulley/internal/core/homes"
	"github.com/corkpulley/corkpulley/internal/core/incarnation"
	"github.com/corkpulley/corkpulley/internal/core/routes"
	"github.com/corkpulley/corkpulley/internal/crashes"
	"github.com/corkpulley/corkpulley/internal/sendgate"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// fakeJobs stores jobs in memory.
type fakeJobs struct {
	mu       sync.Mutex
	state    *batch.Partition
	recorded []batchjobs.ItemResult
	saved    []batchjobs.ItemProgress
	// texts holds saved texts by the offset of their span.
	texts       map[int64][]byte
	unavailable bool
	// scored adds a scoring call to each item.
	scored bool
	// readers holds, by job, the homes of the calls that read its payloads; reading an unreadable job fails.
	readers    map[string][]homes.Set
	unreadable map[string]bool
	// blockSavedTexts, if set, blocks reads of saved texts until it is closed.
	blockSavedTexts chan struct{}
}

func newFakeJobs() *fakeJobs {
	return &fakeJobs{
		state: batch.NewPartition(), texts: make(map[int64][]byte),
		readers: make(map[string][]homes.Set), unreadable: make(map[string]bool),
	}
}

func (f *fakeJobs) apply(record batch.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Apply(record, time.Now())
}

func (f *fakeJobs) Observe(observer batch.Observer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Observe(observer)
}

func (f *fakeJobs) Unobserve(observer batch.Observer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Unobserve(observer)
}

func (f *fakeJobs) Payloads(ctx context.Context, job batch.JobRecord) ([]batch.Payload, error) {
	f.mu.Lock()
	f.readers[job.ID] = append(f.readers[job.ID], homes.FromContext(ctx))
	unreadable := f.unreadable[job.ID]
	f.mu.Unlock()
	if unreadable {
		return nil, fmt.Errorf("log unavailable")
	}
	payloads := make([]batch.Payload, len(job.Items))
	for i, item := range job.Items {
		payloads[i] = batch.Payload{Path: "/" + item.ID}
		if f.scored {
			payloads[i].Scoring = &batch.ScoringCall{ID: "score of " + item.ID, Host: "h", Path: "/score"}
		}
	}
	return payloads, nil
}

func (f *fakeJobs) Record(_ context.Context, _ int, finished []batchjobs.ItemResult) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return 0, fmt.Errorf("log unavailable")
	}
	f.recorded = append(f.recorded, finished...)
	for _, item := range finished {
		f.state.Apply(batch.Record{Results: []batch.ResultRecord{{
			Job: item.JobID, Item: item.Item, Outcome: item.Outcome, Versions: item.Versions,
		}}}, time.Now())
	}
	return len(finished), nil
}

func (f *fakeJobs) SaveProgress(_ context.Context, _ int, running []batchjobs.ItemProgress) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, item := range running {
		item.Record.Text = batch.Span{First: int64(len(f.texts)), Count: 1}
		f.texts[item.Record.Text.First] = item.Text
		f.saved = append(f.saved, item)
		f.state.Apply(batch.Record{Progress: []batch.ProgressRecord{item.Record}}, time.Now())
	}
	return len(running), nil
}

func (f *fakeJobs) SavedTexts(
	ctx context.Context, _ batch.JobRecord, saved map[int]batch.Progress,
) (map[int][]byte, error) {
	if f.blockSavedTexts != nil {
		select {
		case <-f.blockSavedTexts:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	texts := make(map[int][]byte)
	for item, progress := range saved {
		for i, part := range progress.Parts {
			if i > 0 {
				texts[item] = append(texts[item], '\n')
			}
			texts[item] = append(texts[item], f.texts[part.First]...)
		}
	}
	return texts, nil
}

func (f *fakeJobs) PartitionOf(string) int { return 0 }

// readersOf returns the homes of the calls that read a job's payloads.
func (f *fakeJobs) readersOf(job string) []homes.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.readers[job])
}

func (f *fakeJobs) results() []batchjobs.ItemResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]batchjobs.ItemResult(nil), f.recorded...)
}

// fakeEngines streams events with data of the form ITEM-NUMBER.
type fakeEngines struct {
	mu sync.Mutex
	// events is the number of events by item, pause the time between events by engine.
	events  map[string]int
	pause   map[string]time.Duration
	version map[string]int64
	// refuse, if set, returns the error of each call; nil to serve it.
	refuse func(engine string, call Call) *CallError
	// calls holds all calls, ranOn the engine of each.
	calls []Call
	ranOn []string
}

func (f *fakeEngines) Stream(ctx context.Context, engine fleet.Engine, call Call) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.ranOn = append(f.calls, call), append(f.ranOn, engine.ID)
	if f.refuse != nil {
		if refused := f.refuse(engine.ID, call); refused != nil {
			return nil, refused
		}
	}
	return &fakeStream{ctx: ctx, engines: f, engine: engine.ID, item: call.ItemID, next: call.LastEvent + 1}, nil
}

// callsOf returns the calls of an item and the engine of each.
func (f *fakeEngines) callsOf(item string) (calls []Call, ranOn []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, call := range f.calls {
		if call.ItemID == item {
			calls, ranOn = append(calls, call), append(ranOn, f.ranOn[i])
		}
	}
	return calls, ranOn
}

func (f *fakeEngines) setVersion(engine string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version[engine] = version
}

type fakeStream struct {
	ctx     context.Context
	engines *fakeEngines
	engine  string
	item    string
	next    int64
}

func (s *fakeStream) Next() (Event, error) {
	s.engines.mu.Lock()
	length, pause := int64(s.engines.events[s.item]), s.engines.pause[s.engine]
	version := s.engines.version[s.engine]
	s.engines.mu.Unlock()
	if s.next > length {
		return Event{}, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return Event{}, s.ctx.Err()
	case <-time.After(pause):
	}
	event := Event{Number: s.next, Data: fmt.Appendf(nil, "%s-%d", s.item, s.next), Version: version}
	s.next++
	return event, nil
}

func (s *fakeStream) Close() {}

// noCrashes is a CrashObserver for engines that do not crash.
type noCrashes struct{}

func (noCrashes) ConnectionLost(context.Context, crashes.LostConnection) bool { return false }

// fakeScorer returns a score derived from the call's ID.
type fakeScorer struct {
	mu       sync.Mutex
	capacity admission.Capacity
	// respond, if set, returns the result of each call.
	respond func(call batch.ScoringCall) ScoringResult
	// hold, if set, blocks calls until it is closed.
	hold        chan struct{}
	inFlight    int
	maxInFlight int
	calls       []string
}

func (f *fakeScorer) Score(ctx context.Context, _ string, call batch.ScoringCall) ScoringResult {
	f.mu.Lock()
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	f.calls = append(f.calls, call.ID)
	hold, respond := f.hold, f.respond
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	switch {
	case ctx.Err() != nil:
		return ScoringResult{Detail: "canceled"}
	case respond != nil:
		return respond(call)
	}
	return ScoringResult{Score: "stamp of " + call.ID}
}

func (f *fakeScorer) Capacity(batch.ScoringCall) (string, admission.Capacity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return "scoring", admission.Capacity{Slots: f.capacity.Slots, Busy: f.capacity.Busy + f.inFlight}
}

func (f *fakeScorer) callIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.calls...)
}

// testEnv holds the fake dependencies of runners.
type testEnv struct {
	t          *testing.T
	jobs       *fakeJobs
	engines    *fakeEngines
	fleet      *fleet.Fleet
	scorer     *fakeScorer
	crashes    CrashObserver
	coldStarts *fakeColdStarts
	route      Route
	// engineTokens is the memory of each engine in tokens.
	engineTokens int
	terms        int
	// gate is the runners' Options.Gate.
	gate *sendgate.Gate
	// configure, if set, changes the options of each runner.
	configure func(options *Options)
	// mixed is the runners' Options.MixedEngines, logger their Logger; nil for none.
	mixed  bool
	logger *zerolog.Logger

	// mu guards route, homes (by job) and config, the version of the configuration.
	mu     sync.Mutex
	homes  map[string]homes.Set
	config int64
	// moves holds the reason of each move, fastEngines each reported number of fast engines; guarded by mu.
	moves       []MoveReason
	fastEngines []int
	// drops holds the reason of each dropped output; guarded by mu.
	drops []DropReason
}

func (env *testEnv) recordDrop(reason DropReason) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.drops = append(env.drops, reason)
}

func (env *testEnv) dropped() []DropReason {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.drops)
}

func (env *testEnv) recordMove(reason MoveReason) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.moves = append(env.moves, reason)
}

func (env *testEnv) recordFastEngines(_ string, fast int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.fastEngines = append(env.fastEngines, fast)
}

// partsOf returns the parts of a route to one service.
func partsOf(service string) []routes.Part { return []routes.Part{{Service: service, Weight: 1}} }

// engineOf returns an engine with version 1 of the model.
func engineOf(id string) fleet.Engine {
	return fleet.Engine{ID: id, Service: "s", Slots: 8, Versions: map[string]int64{"m": 1}}
}

func newTestEnv(t *testing.T, engineIDs ...string) *testEnv {
	env := &testEnv{
		t: t, jobs: newFakeJobs(), fleet: fleet.New(), scorer: &fakeScorer{capacity: admission.Capacity{Slots: 100}},
		engines: &fakeEngines{events: map[string]int{}, pause: map[string]time.Duration{}, version: map[string]int64{}},
		crashes: noCrashes{}, homes: make(map[string]homes.Set),
		route: Route{Name: "r", Parts: partsOf("s"), MaxAttempts: 2, Retention: time.Minute},
	}
	for _, id := range engineIDs {
		env.engines.version[id] = 1
		env.fleet.Put(engineOf(id))
	}
	return env
}

// startRunner starts a runner of unbound jobs and returns it with a function that stops it.
func (env *testEnv) startRunner() (*Runner, func()) { return env.startRunnerWith(env.engines) }

// startBoundRunner starts a runner of the jobs bound to the regions.
func (env *testEnv) startBoundRunner(regions ...string) (*Runner, func()) {
	return env.startRunnerWith(env.engines, regions...)
}

// startRunnerWith is startBoundRunner with other engines.
func (env *testEnv) startRunnerWith(engines Engines, regions ...string) (*Runner, func()) {
	env.terms++
	logger := zerolog.Nop()
	if env.logger != nil {
		logger = *env.logger
	}
	options := Options{
		Jobs: env.jobs, Engines: engines, Fleet: env.fleet, Scorer: env.scorer, Crashes: env.crashes, ColdStarts: env.coldStarts,
		Gate:    env.gate,
		RouteOf: env.routeOf, EngineTokensOf: func(string) int { return env.engineTokens },
		Homes: homes.Of(regions), HomesOf: env.homesOf, ConfigVersion: env.configVersion,
		LoadingModel:  func(incarnation.ID) string { return "" },
		LoadingModels: func() map[incarnation.ID]string { return nil },
		Term:          fmt.Sprint(env.terms), Logger: logger,
		MixedEngines: env.mixed, OnMove: env.recordMove, OnFastEngines: env.recordFastEngines,
		OnOutputDropped: env.recordDrop,
	}
	if env.configure != nil {
		env.configure(&options)
	}
	r := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	env.t.Cleanup(stop)
	return r, stop
}

func (env *testEnv) submit(id string, minVersion int64, items ...string) {
	env.submitRecord(batch.JobRecord{ID: id, Model: "m", MinVersion: minVersion}, items)
}

func (env *testEnv) submitStep(id string, step int64, items ...string) {
	env.submitRecord(batch.JobRecord{ID: id, Model: "m", MinVersion: 1, Step: step}, items)
}

func (env *testEnv) submitRecord(record batch.JobRecord, items []string) {
	for _, item := range items {
		record.Items = append(record.Items, batch.ItemRecord{ID: item, Group: "group of " + record.ID})
	}
	env.jobs.apply(batch.Record{Job: &record})
}

func (env *testEnv) awaitResults(count int) map[string]batchjobs.ItemResult {
	env.t.Helper()
	testwait.Until(env.t, fmt.Sprintf("%d results", count), func() bool { return len(env.jobs.results()) >= count })
	byItem := map[string]batchjobs.ItemResult{}
	for _, result := range env.jobs.results() {
		byItem[fmt.Sprint(result.JobID, "/", result.Item)] = result
	}
	return byItem
}

// fullText returns the complete output of an item.
func fullText(item string, events int) string {
	text := ""
	for number := 1; number <= events; number++ {
		if number > 1 {
			text += "\n"
		}
		text += fmt.Sprintf("%s-%d", item, number)
	}
	return text
}
