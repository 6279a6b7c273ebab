package coordinator

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/platform/logservice"
	"github.com/corkpulley/corkpulley/internal/platform/scorer"
	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	"github.com/corkpulley/corkpulley/internal/router"
	standinscorer "github.com/corkpulley/corkpulley/internal/standin/scorer"
)

// pausableLog is a node's log client, whose calls block while it is paused.
type pausableLog struct {
	logservice.Service
	mutex  sync.Mutex
	resume chan struct{}
}

func (l *pausableLog) setPaused(paused bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.resume != nil {
		close(l.resume)
		l.resume = nil
	}
	if paused {
		l.resume = make(chan struct{})
	}
}

func (l *pausableLog) wait(ctx context.Context) {
	l.mutex.Lock()
	resume := l.resume
	l.mutex.Unlock()
	if resume == nil {
		return
	}
	select {
	case <-resume:
	case <-ctx.Done():
	}
}

func (l *pausableLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	l.wait(ctx)
	return l.Service.Append(ctx, stream, records)
}

func (l *pausableLog) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (logservice.Batch, error) {
	l.wait(ctx)
	batch, err := l.Service.Read(ctx, stream, from, limit, wait)
	l.wait(ctx) // a read in progress does not return while paused either
	return batch, err
}

// fakeRouter simulates the engines: all run the same version, which may change
// in the middle of an answer.
type fakeRouter struct {
	mutex   sync.Mutex
	version uint64
	tokens  int
	runs    int
	// hold, when set, blocks each answer after its first token until it is closed.
	hold chan struct{}
	// admit, when set, blocks each request before its first token until a value is
	// received. admitted counts admitted requests; admittedBefore is that count at
	// the arrival of each request.
	admit          chan struct{}
	admitted       int
	admittedBefore []int
	// requests holds all requests, in order of arrival.
	requests []router.Request
}

func (f *fakeRouter) update(change func(*fakeRouter)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

func (f *fakeRouter) state() (uint64, int, chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version, f.tokens, f.hold
}

func (f *fakeRouter) Run(
	ctx context.Context, request router.Request, onPiece func(router.Piece) error,
) (router.Result, error) {
	if err := f.awaitAdmission(ctx, request); err != nil {
		return router.Result{}, err
	}
	version, tokens, hold := f.state()
	if version < request.MinVersion {
		return router.Result{}, errkind.New(errkind.NoCapacity, "no engine has version %d", request.MinVersion)
	}
	for index := range tokens {
		version, _, _ = f.state()
		text := strconv.Itoa(index) + ":" + strconv.FormatUint(version, 10) + " "
		piece := router.Piece{FirstToken: index, Tokens: []string{text}, Version: version}
		if err := onPiece(piece); err != nil {
			return router.Result{}, err
		}
		if index == 0 && hold != nil {
			select {
			case <-hold:
			case <-ctx.Done():
				return router.Result{}, errkind.New(errkind.Canceled, "canceled")
			}
		}
	}
	f.update(func(f *fakeRouter) { f.runs++ })
	return router.Result{Tokens: tokens, FinishReason: "stop"}, nil
}

// awaitAdmission records the request and waits until it is admitted.
func (f *fakeRouter) awaitAdmission(ctx context.Context, request router.Request) error {
	var admit chan struct{}
	f.update(func(f *fakeRouter) {
		f.requests = append(f.requests, request)
		f.admittedBefore = append(f.admittedBefore, f.admitted)
		admit = f.admit
	})
	if admit == nil {
		return nil
	}
	select {
	case <-admit:
	case <-ctx.Done():
		return errkind.New(errkind.Canceled, "canceled")
	}
	f.update(func(f *fakeRouter) { f.admitted++ })
	return nil
}

// Info and Publish implement the weight store; published versions reach the
// engines immediately.
func (f *fakeRouter) Info(context.Context, string) (weightstore.ModelInfo, error) {
	version, _, _ := f.state()
	return weightstore.ModelInfo{Model: "m", Latest: version}, nil
}

func (f *fakeRouter) Publish(_ context.Context, _ string, request weightstore.PublishRequest) error {
	f.update(func(f *fakeRouter) { f.version = max(f.version, request.Version) })
	return nil
}

type fakeScorer struct{}

func (fakeScorer) Score(_ context.Context, request scorer.Request) (scorer.Response, error) {
	return scorer.Response{Score: standinscorer.Score(1, request.Prompt, request.Text)}, nil
}

func assertKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	assert.Assert(t, errkind.Is(err, kind), "wanted %s, got %v", kind, err)
}
