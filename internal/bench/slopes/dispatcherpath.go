package slopes

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/dispatcher"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// dispatcherPath is a real dispatcher on a real transport with a cell of
// hollow engines in the process, called from another transport.
type dispatcherPath struct {
	closers
	shapes
	caller  *peer.Transport
	address string
	next    atomic.Int64
}

var hollowCell = message.CellID{Zone: hollowZone, Pool: hollowPool}

func openDispatcherPath() (path, error) {
	opened := &dispatcherPath{}
	node := &hollowNode{table: hollowTable()}
	for index := range message.CellSize {
		id := hollowEngineID(index)
		node.engines = append(node.engines, cluster.EngineMachine{ID: id, Address: id, Zone: hollowZone, Pool: hollowPool})
	}
	var served *dispatcher.Dispatcher
	far, err := startTransport("node-far", func(transport *peer.Transport) {
		node.self = hollowMember("node-far", transport.Address(), hollowZone)
		node.members = []cluster.Member{node.self}
		served = dispatcher.New(dispatcher.Options{
			NodeID: "node-far", PeerAddress: transport.Address(), Zone: hollowZone,
			Registry: transport, View: node, Announcer: node, EngineList: node,
			EngineClient: &hollowEngines{shapes: &opened.shapes}, Tables: node, Logger: zerolog.Nop(),
		})
	})
	if err != nil {
		return nil, err
	}
	opened.add(far.close)
	opened.add(runInBackground(served.Run))
	near, err := startTransport("node-near", func(*peer.Transport) {})
	if err != nil {
		opened.close()
		return nil, err
	}
	opened.add(near.close)
	opened.caller, opened.address = near.Transport, far.Address()
	if err := waitForCell(served); err != nil {
		opened.close()
		return nil, err
	}
	return opened, nil
}

// waitForCell waits until all hollow engines are in service.
func waitForCell(served *dispatcher.Dispatcher) error {
	return waitUntil("the hollow cell is in service", func() bool {
		cells := served.CellStatuses()
		return len(cells) == 1 && cells[0].Engines == message.CellSize
	})
}

func (p *dispatcherPath) request(ctx context.Context, shape answerShape) error {
	p.set(shape)
	stream, err := p.caller.OpenStream(ctx, p.address, peer.MethodSubmit, p.submission(shape))
	if err != nil {
		return errors.Wrap(err, "submit")
	}
	defer stream.Close()
	tokens := 0
	for {
		var progress message.Progress
		err := stream.Receive(&progress)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "receive answer")
		}
		tokens += len(progress.Tokens)
	}
	if tokens != shape.tokens() {
		return errors.Errorf("%d tokens, expected %d", tokens, shape.tokens())
	}
	return nil
}

func (p *dispatcherPath) submission(shape answerShape) message.Submit {
	return message.Submit{
		RequestID: fmt.Sprintf("node-near-%020d", p.next.Add(1)), Attempt: 1, Cell: hollowCell,
		Service: hollowTable().Rows[0].Service, TableRevision: 1, Model: hollowModel, Prompt: hollowPrompt(1),
		MaxTokens: maxTokensOf(shape), Repeatable: true, QueueTimeout: patience,
	}
}

// maxTokensOf leaves a held answer more tokens to come.
func maxTokensOf(shape answerShape) int {
	if shape.held {
		return maxAnswerTokens
	}
	return shape.tokens()
}

// hold implements holder.
func (p *dispatcherPath) hold(ctx context.Context) error {
	p.set(heldShape)
	stream, err := p.caller.OpenStream(ctx, p.address, peer.MethodSubmit, p.submission(heldShape))
	if err != nil {
		return errors.Wrap(err, "submit")
	}
	var progress message.Progress
	return stream.Receive(&progress)
}

// hollowEngines is an engine.Client whose engines answer at once. The methods
// that it lacks must not be called.
type hollowEngines struct {
	engine.Client
	shapes *shapes
}

func (e *hollowEngines) Generate(
	ctx context.Context, _ string, request engine.GenerateRequest,
) (engine.Stream, error) {
	return &hollowStream{ctx: ctx, request: request, shape: e.shapes.get()}, nil
}

func (e *hollowEngines) Cancel(context.Context, string, engine.CancelRequest) error { return nil }

func (e *hollowEngines) Watch(
	ctx context.Context, address string, interval time.Duration, handle func(engine.Event),
) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		status := hollowStatus(address)
		handle(engine.Event{Kind: engine.EventStatus, Status: &status})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hollowStream answers with a shape's chunks.
type hollowStream struct {
	ctx     context.Context
	request engine.GenerateRequest
	shape   answerShape
	sent    int
}

func (s *hollowStream) Receive() (engine.Chunk, error) {
	if s.sent == s.shape.chunks && s.shape.held {
		<-s.ctx.Done()
		return engine.Chunk{}, s.ctx.Err()
	}
	if s.sent == s.shape.chunks {
		return engine.Chunk{}, io.EOF
	}
	chunk := hollowChunk(s.request, s.shape, s.sent)
	s.sent++
	return chunk, s.ctx.Err()
}

func (s *hollowStream) Close() error { return nil }

// hollowChunk returns a chunk of an answer by its index.
func hollowChunk(request engine.GenerateRequest, shape answerShape, index int) engine.Chunk {
	chunk := engine.Chunk{
		RequestID: request.RequestID, Attempt: request.Attempt,
		FirstToken: index * shape.tokensPerChunk, Tokens: hollowTokens(shape.tokensPerChunk), Version: hollowVersion,
	}
	if index == shape.chunks-1 && !shape.held {
		chunk.Finished, chunk.FinishReason = true, engine.FinishLength
	}
	return chunk
}
