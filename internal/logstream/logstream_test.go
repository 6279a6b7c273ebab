package logstream

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	standin "github.com/corkpulley/corkpulley/internal/standin/logservice"
)

// testTimeout ends tests that hang.
const testTimeout = 60 * time.Second

// recordingReducer keeps every accepted record, so that the states of two readers can be compared.
type recordingReducer struct {
	Sequences logrecord.Sequences
	Fence     logrecord.Fence
	Accepted  []string
}

const kindNote logrecord.Kind = "note"

func (r *recordingReducer) Apply(offset int64, record logrecord.Record) logrecord.Verdict {
	verdict := r.Sequences.Admit(offset, record)
	if verdict == logrecord.Accepted && record.Kind != kindNote {
		verdict = r.Fence.Apply(offset, record)
	}
	if verdict == logrecord.Accepted {
		r.Accepted = append(r.Accepted, fmt.Sprintf("%d %s %d %s", offset, record.Writer, record.Sequence, record.Kind))
	}
	return verdict
}

func (r *recordingReducer) Snapshot() ([]byte, error) { return msgpack.Marshal(r) }

func (r *recordingReducer) Restore(data []byte) error {
	var restored recordingReducer
	if err := msgpack.Unmarshal(data, &restored); err != nil {
		return err
	}
	*r = restored
	return nil
}

// fixture is a fake log service behind an HTTP server.
type fixture struct {
	log    *standin.Server
	server *httptest.Server
	// failedReads counts the failed reads of all managers.
	failedReads atomic.Int64
}

// countingService counts failed reads.
type countingService struct {
	logservice.Service
	failedReads *atomic.Int64
}

func (s countingService) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (logservice.Batch, error) {
	batch, err := s.Service.Read(ctx, stream, from, limit, wait)
	if err != nil {
		s.failedReads.Add(1)
	}
	return batch, err
}

// outage makes the log unavailable until six reads have failed, then applies control.
func (f *fixture) outage(t *testing.T, ctx context.Context, control standin.Control) {
	t.Helper()
	f.log.SetControl(standin.Control{Down: true})
	before := f.failedReads.Load()
	for f.failedReads.Load() < before+6 {
		assert.Assert(t, retry.Sleep(ctx, time.Millisecond), "no read failed")
	}
	f.log.SetControl(control)
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	log := standin.New(standin.Config{Seed: 1})
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)
	return &fixture{log: log, server: server}
}

func (f *fixture) service() logservice.Service {
	return logservice.NewHTTP(f.server.URL, f.server.Client())
}

func (f *fixture) manager(t *testing.T, writer string) *Manager {
	t.Helper()
	manager := NewManager(Options{
		Service:       countingService{Service: f.service(), failedReads: &f.failedReads},
		Writer:        writer,
		Logger:        zerolog.Nop(),
		PollWait:      50 * time.Millisecond,
		AppendTimeout: time.Second,
	})
	t.Cleanup(func() {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = manager.Close(canceled)
	})
	return manager
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// accepted returns the records accepted by the stream's reducer once it has caught up.
func accepted(t *testing.T, ctx context.Context, stream *TailedStream) []string {
	t.Helper()
	assert.NilError(t, stream.CatchUp(ctx))
	var records []string
	stream.View(func() { records = slices.Clone(stream.Reducer().(*recordingReducer).Accepted) })
	return records
}

// Guards against lost or duplicated proposals of two concurrent writers when responses are lost, effects are
// delayed, appends are refused and the log is unavailable for a while.
func TestConcurrentProposalsGetOneVerdictEachDuringOutage(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	fixture.log.SetControl(standin.Control{LostResponseShare: 0.4, EffectDelayMS: 30, RefuseShare: 0.2})
	streams := []*TailedStream{}
	for _, writer := range []string{"a", "b"} {
		manager := fixture.manager(t, writer)
		streams = append(streams, manager.Open("notes/x", &recordingReducer{}, StreamOptions{SnapshotEvery: 40}))
	}

	const each = 120
	var mu sync.Mutex
	offsets := map[int64]bool{}
	var workers sync.WaitGroup
	for i := range 2 * each {
		workers.Go(func() {
			outcome, err := streams[i%2].Propose(ctx, Proposal{Kind: kindNote, Body: i})
			assert.Check(t, err == nil, "proposal %d: %v", i, err)
			assert.Check(t, outcome.Verdict == logrecord.Accepted, "proposal %d: %v", i, outcome.Verdict)
			mu.Lock()
			defer mu.Unlock()
			assert.Check(t, !offsets[outcome.Offset], "two proposals at offset %d", outcome.Offset)
			offsets[outcome.Offset] = true
		})
	}
	fixture.outage(t, ctx, standin.Control{LostResponseShare: 0.4, EffectDelayMS: 30, RefuseShare: 0.2})
	workers.Wait()
	fixture.log.SetControl(standin.Control{})

	first := accepted(t, ctx, streams[0])
	second := accepted(t, ctx, streams[1])
	shared := min(len(first), len(second))
	assert.DeepEqual(t, first[:shared], second[:shared])
	assert.Equal(t, len(first), 2*each)
	assert.Equal(t, len(second), 2*each)

	// A new reader starts from a snapshot and reaches the same state.
	reader := fixture.manager(t, "c").Open("notes/x", &recordingReducer{}, StreamOptions{})
	assert.DeepEqual(t, accepted(t, ctx, reader), first)
}

// Guards against two owners of one epoch when several processes claim ownership at once.
func TestConcurrentClaimsGiveEachEpochOneOwner(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	fixture.log.SetControl(standin.Control{LostResponseShare: 0.3, EffectDelayMS: 5})
	var mu sync.Mutex
	owners := map[int64]string{}
	var workers sync.WaitGroup
	for _, writer := range []string{"a", "b", "c"} {
		reducer := &logrecord.OwnershipReducer{}
		stream := fixture.manager(t, writer).Open("orders/m", reducer, StreamOptions{SnapshotEvery: 10})
		workers.Go(func() {
			for range 15 {
				var fence logrecord.Fence
				stream.View(func() { fence = reducer.Fence() })
				claim := logrecord.Claim{PreviousEpoch: fence.Epoch, Node: writer, Address: "127.0.0.1:1"}
				outcome, err := stream.Propose(ctx, Proposal{Kind: logrecord.KindClaim, Body: claim})
				assert.Check(t, err == nil, "%v", err)
				if outcome.Verdict != logrecord.Accepted {
					assert.Check(t, outcome.Verdict == logrecord.Fenced, "%v", outcome.Verdict)
					continue
				}
				epoch := logrecord.EpochOfClaim(outcome.Offset)
				mu.Lock()
				assert.Check(t, owners[epoch] == "", "epoch %d has two owners", epoch)
				owners[epoch] = writer
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	assert.Assert(t, len(owners) > 0)
}

func TestProposeWithCallbackReportsOutcomeAfterTimeout(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	manager := fixture.manager(t, "a")
	stream := manager.Open("notes/x", &recordingReducer{}, StreamOptions{})
	_, err := stream.Propose(ctx, Proposal{Kind: kindNote, Body: 1})
	assert.NilError(t, err)
	assert.Assert(t, !manager.LastContact("notes/x").IsZero())
	assert.Assert(t, manager.LastContact("notes/other").IsZero())

	fixture.log.SetControl(standin.Control{Down: true})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	late := make(chan Outcome, 2)
	_, err = stream.ProposeWithCallback(short, Proposal{Kind: kindNote, Body: 2}, func(outcome Outcome) { late <- outcome })
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	fixture.log.SetControl(standin.Control{})
	select {
	case outcome := <-late:
		assert.Equal(t, outcome.Verdict, logrecord.Accepted)
		record, err := stream.ReadRecord(ctx, outcome.Offset)
		assert.NilError(t, err)
		assert.Equal(t, record.Sequence, uint64(2))
	case <-ctx.Done():
		t.Fatal("onLate was not called")
	}
	assert.Equal(t, len(accepted(t, ctx, stream)), 2)
}

// Guards against malformed records or an undecodable snapshot that stop a reader.
func TestMalformedRecordsAreSkipped(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	badSnapshot, err := logrecord.Encode(logrecord.Record{Writer: "z", Kind: logrecord.KindSnapshot, Body: []byte{0xc0}})
	assert.NilError(t, err)
	_, err = fixture.service().Append(ctx, "notes/x", [][]byte{{0xff}, {}, badSnapshot})
	assert.NilError(t, err)
	stream := fixture.manager(t, "a").Open("notes/x", &recordingReducer{}, StreamOptions{})
	outcome, err := stream.Propose(ctx, Proposal{Kind: kindNote, Body: 1})
	assert.NilError(t, err)
	assert.Equal(t, outcome, Outcome{Offset: 3, Verdict: logrecord.Accepted})
	assert.Equal(t, stream.Applied(), int64(4))
}

// Guards against a state restored from a multi-part snapshot that differs from the replayed one.
func TestSnapshotEqualsReplay(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	writer := fixture.manager(t, "a").Open("notes/x", &recordingReducer{}, StreamOptions{SnapshotEvery: 100})
	writer.View(func() {
		// A state large enough to be split into parts.
		writer.Reducer().(*recordingReducer).Accepted = []string{strings.Repeat("x", 2*snapshotPartBytes)}
	})
	for i := range 150 {
		_, err := writer.Propose(ctx, Proposal{Kind: kindNote, Body: i})
		assert.NilError(t, err)
	}
	want := accepted(t, ctx, writer)
	manager := fixture.manager(t, "b")
	restored := manager.Open("notes/x", &recordingReducer{}, StreamOptions{})
	assert.DeepEqual(t, accepted(t, ctx, restored), want)

	// A snapshot of another format is ignored: the reader replays the records, without the large entry.
	replayed := manager.Open("notes/x", &recordingReducer{}, StreamOptions{SnapshotFormat: 9})
	assert.DeepEqual(t, accepted(t, ctx, replayed), want[1:])
}

func TestOpenSharesStreamByReducerUntilLastClose(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	manager := fixture.manager(t, "a")
	reducer := &recordingReducer{}
	first := manager.Open("notes/x", reducer, StreamOptions{})
	second := manager.Open("notes/x", reducer, StreamOptions{})
	other := manager.Open("notes/x", &recordingReducer{}, StreamOptions{})
	assert.Equal(t, first, second)
	assert.Assert(t, other != first && other.Writer() != first.Writer())

	first.Close()
	_, err := second.Propose(ctx, Proposal{Kind: kindNote, Body: 1})
	assert.NilError(t, err)
	second.Close()
	_, err = second.Propose(ctx, Proposal{Kind: kindNote, Body: 1})
	assert.ErrorIs(t, err, ErrNotProposed)
	assert.NilError(t, manager.Close(ctx))
	assert.Assert(t, manager.LastContact("notes/x").IsZero())
}

func TestProposeRejectsOversizeBody(t *testing.T) {
	stream := newFixture(t).manager(t, "a").Open("notes/x", &recordingReducer{}, StreamOptions{})
	_, err := stream.Propose(testContext(t), Proposal{Kind: kindNote, Body: make([]byte, MaxBodyBytes+1)})
	assert.ErrorIs(t, err, ErrNotProposed)
}

// Guards against losing a proposal that is appended after more records than readers track for deduplication: its
// writer must append it again with a new sequence number.
func TestExpiredProposalIsRequeued(t *testing.T) {
	ctx := testContext(t)
	fixture := newFixture(t)
	stream := fixture.manager(t, "a").Open("notes/x", &recordingReducer{}, StreamOptions{})
	assert.NilError(t, stream.CatchUp(ctx))
	stream.mu.Lock()
	proposed, err := stream.newProposal(Proposal{Kind: kindNote, Body: 1}, nil)
	assert.NilError(t, err)
	proposed.record.Sequence = stream.nextSequence
	stream.nextSequence++
	stream.pending[proposed.record.Sequence] = proposed
	stream.mu.Unlock()
	old, err := logrecord.Encode(proposed.record)
	assert.NilError(t, err)

	filler := make([][]byte, logrecord.WriterRetentionOffsets+1)
	_, err = fixture.service().Append(ctx, "notes/x", append(filler, old))
	assert.NilError(t, err)
	select {
	case outcome := <-proposed.done:
		assert.Equal(t, outcome, Outcome{Offset: logrecord.WriterRetentionOffsets + 2, Verdict: logrecord.Accepted})
	case <-ctx.Done():
		t.Fatal("no verdict")
	}
}
