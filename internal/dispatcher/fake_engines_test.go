package dispatcher

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/engine"
)

var errBroken = errors.New("connection reset")

// generateFunc handles one request to a fake engine.
type generateFunc func(ctx context.Context, request engine.GenerateRequest) (engine.Stream, error)

// fakeEngines implements the methods of engine.Client that a dispatcher uses; an engine's address is
// its ID.
type fakeEngines struct {
	engine.Client
	mutex   sync.Mutex
	status  map[string]engine.Status
	changed map[string]chan struct{}
	// unreachable engines break their watch streams.
	unreachable map[string]bool
	generate    map[string]generateFunc
	requests    map[string][]engine.GenerateRequest
	canceled    []engine.CancelRequest
	orders      []string
	order       func(address string, order engine.Order) error
}

func (f *fakeEngines) Generate(
	ctx context.Context, address string, request engine.GenerateRequest,
) (engine.Stream, error) {
	f.mutex.Lock()
	f.requests[address] = append(f.requests[address], request)
	answer := f.generate[address]
	f.mutex.Unlock()
	return answer(ctx, request)
}

func (f *fakeEngines) Cancel(_ context.Context, _ string, request engine.CancelRequest) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.canceled = append(f.canceled, request)
	return nil
}

func (f *fakeEngines) Watch(
	ctx context.Context, address string, _ time.Duration, handle func(engine.Event),
) error {
	for {
		f.mutex.Lock()
		if f.unreachable[address] {
			f.mutex.Unlock()
			return errBroken
		}
		status := f.status[address]
		changed := f.changed[address]
		f.mutex.Unlock()
		handle(engine.Event{Kind: engine.EventStatus, Status: &status})
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *fakeEngines) Order(_ context.Context, address string, order engine.Order) error {
	f.mutex.Lock()
	f.orders = append(f.orders, address)
	answer := f.order
	f.mutex.Unlock()
	return answer(address, order)
}

// change edits an engine's status and reports it at once.
func (f *fakeEngines) change(id string, edit func(*engine.Status)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	status := f.status[id]
	edit(&status)
	f.status[id] = status
	close(f.changed[id])
	f.changed[id] = make(chan struct{})
}

func (f *fakeEngines) requestsTo(id string) []engine.GenerateRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.requests[id])
}

// fakeStream delivers chunks, then fails; with hold it first blocks until released or canceled.
type fakeStream struct {
	ctx    context.Context
	chunks []engine.Chunk
	err    error
	hold   <-chan struct{}
}

func (s *fakeStream) Receive() (engine.Chunk, error) {
	if len(s.chunks) > 0 {
		chunk := s.chunks[0]
		s.chunks = s.chunks[1:]
		return chunk, nil
	}
	if s.hold == nil {
		return engine.Chunk{}, s.err
	}
	select {
	case <-s.hold:
		return engine.Chunk{}, s.err
	case <-s.ctx.Done():
		return engine.Chunk{}, s.ctx.Err()
	}
}

func (s *fakeStream) Close() error { return nil }

// chunks returns the tokens [from, to) one per chunk; the chunk of the request's last token is marked
// finished.
func chunks(request engine.GenerateRequest, from, to int, version uint64) []engine.Chunk {
	var list []engine.Chunk
	for index := from; index < to; index++ {
		last := index == request.MaxTokens-1
		chunk := engine.Chunk{
			RequestID: request.RequestID, Attempt: request.Attempt, FirstToken: index,
			Tokens: []string{fmt.Sprint("t", index)}, Version: version, Finished: last,
		}
		if last {
			chunk.FinishReason = engine.FinishLength
		}
		list = append(list, chunk)
	}
	return list
}

// startIndex returns the index of the first token that the engine must send.
func startIndex(request engine.GenerateRequest) int {
	if request.ResumeFrom != nil {
		return *request.ResumeFrom
	}
	return len(request.Generated)
}

// wholeAnswer streams all tokens.
func wholeAnswer(version uint64) generateFunc {
	return func(ctx context.Context, request engine.GenerateRequest) (engine.Stream, error) {
		list := chunks(request, startIndex(request), request.MaxTokens, version)
		return &fakeStream{ctx: ctx, chunks: list, err: io.EOF}, nil
	}
}

// tokensUpTo streams the tokens before an index, waits for hold unless it is nil, and breaks the stream.
func tokensUpTo(to int, version uint64, hold <-chan struct{}) generateFunc {
	return func(ctx context.Context, request engine.GenerateRequest) (engine.Stream, error) {
		list := chunks(request, startIndex(request), to, version)
		return &fakeStream{ctx: ctx, chunks: list, err: errBroken, hold: hold}, nil
	}
}

func failWith(failure engine.SendError) generateFunc {
	return func(context.Context, engine.GenerateRequest) (engine.Stream, error) {
		if failure.Err == nil {
			failure.Err = errBroken
		}
		return nil, &failure
	}
}

// inSequence uses each answer once, and the last one for all further requests.
func inSequence(answers ...generateFunc) generateFunc {
	var mutex sync.Mutex
	return func(ctx context.Context, request engine.GenerateRequest) (engine.Stream, error) {
		mutex.Lock()
		answer := answers[0]
		if len(answers) > 1 {
			answers = answers[1:]
		}
		mutex.Unlock()
		return answer(ctx, request)
	}
}
