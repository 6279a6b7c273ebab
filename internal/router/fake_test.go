package router

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/peer"
)

// fakeCluster implements cluster.View, cluster.Announcer, policy.Source and peer.Caller with scripted
// dispatchers.
type fakeCluster struct {
	cluster.View
	cluster.Announcer
	table policy.Table

	mutex       sync.Mutex
	members     []cluster.Member
	cells       []message.CellDigest
	observed    []message.CellDigest
	submits     []message.Submit
	dispatchers map[string]dispatcherFunc
}

// dispatcherFunc handles one answer stream.
type dispatcherFunc func(ctx context.Context, submit message.Submit, send func(message.Progress)) error

func newFakeCluster(nodes ...string) *fakeCluster {
	fake := &fakeCluster{dispatchers: make(map[string]dispatcherFunc)}
	for index, node := range nodes {
		fake.members = append(fake.members, cluster.Member{ID: node, Address: node, Zone: "a", State: cluster.StateAlive})
		fake.cells = append(fake.cells, message.CellDigest{
			Cell:    message.CellID{Zone: "a", Pool: "pool", Index: index},
			Node:    node,
			Address: node,
			Slots:   1000,
			Engines: 1,
			Models:  []message.ModelCount{{ModelVersion: engine.ModelVersion{Model: "model", Version: 3}, Engines: 1}},
		})
	}
	return fake
}

func (f *fakeCluster) Members() []cluster.Member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.members)
}

func (f *fakeCluster) Candidates(zone string) []cluster.Member {
	return slices.DeleteFunc(f.Members(), func(member cluster.Member) bool { return member.Zone != zone })
}

func (f *fakeCluster) Cells() []message.CellDigest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.cells)
}

func (f *fakeCluster) ObserveCell(digest message.CellDigest) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.observed = append(f.observed, digest)
}

func (f *fakeCluster) Table() *policy.Table { return &f.table }

func (f *fakeCluster) Changed(int64) <-chan struct{} { return nil }

func (f *fakeCluster) CheckCurrent() error { return nil }

func (f *fakeCluster) Call(context.Context, string, peer.Method, any, any) error {
	return errors.New("no calls expected")
}

func (f *fakeCluster) remove(node string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.members = slices.DeleteFunc(f.members, func(member cluster.Member) bool { return member.ID == node })
}

func (f *fakeCluster) submitted() []message.Submit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.submits)
}

func (f *fakeCluster) OpenStream(ctx context.Context, address string, _ peer.Method, request any) (peer.Stream, error) {
	submit := *request.(*message.Submit)
	f.mutex.Lock()
	handler, known := f.dispatchers[address]
	f.submits = append(f.submits, submit)
	f.mutex.Unlock()
	if !known {
		return nil, &peer.DeliveryError{Sent: false, Err: errors.New("connection refused")}
	}
	ctx, cancel := context.WithCancel(ctx)
	stream := &fakeStream{messages: make(chan message.Progress), cancel: cancel, ctx: ctx}
	go func() {
		defer close(stream.messages)
		stream.err = handler(ctx, submit, func(progress message.Progress) {
			select {
			case stream.messages <- progress:
			case <-ctx.Done():
			}
		})
	}()
	return stream, nil
}

type fakeStream struct {
	messages chan message.Progress
	ctx      context.Context
	cancel   func()
	err      error // read after messages is closed
}

func (s *fakeStream) Receive(into any) error {
	select {
	case progress, open := <-s.messages:
		if open {
			*into.(*message.Progress) = progress
			return nil
		}
		if s.err != nil {
			return s.err
		}
		return io.EOF
	case <-s.ctx.Done():
		return connectionReset()
	}
}

func (s *fakeStream) Close() { s.cancel() }

func connectionReset() error {
	return &peer.DeliveryError{Sent: true, Err: errors.New("connection reset")}
}

// answerLength is the number of tokens of the reference answer, whose version rises every ten tokens.
const answerLength = 25

func answerToken(index int) string { return fmt.Sprintf("t%d ", index) }

// generate sends reference tokens [from, to), one message each, and returns the next index.
func generate(submit message.Submit, from, to int, send func(message.Progress)) int {
	index := from
	for ; index < min(to, answerLength); index++ {
		send(message.Progress{
			Attempt:    submit.Attempt,
			FirstToken: index,
			Tokens:     []string{answerToken(index)},
			Version:    3 + uint64(index/10),
		})
	}
	return index
}

func finish(submit message.Submit, send func(message.Progress)) {
	send(message.Progress{Attempt: submit.Attempt, FirstToken: answerLength, Finished: true, FinishReason: "stop"})
}

// startIndex returns the first token index that the submission asks for.
func startIndex(submit message.Submit) int {
	if submit.Attach {
		return submit.ResumeFrom
	}
	return len(submit.Generated)
}

func serve(_ context.Context, submit message.Submit, send func(message.Progress)) error {
	generate(submit, startIndex(submit), answerLength, send)
	finish(submit, send)
	return nil
}

func refuse(err error) dispatcherFunc {
	return func(context.Context, message.Submit, func(message.Progress)) error { return err }
}

func hang(ctx context.Context, _ message.Submit, _ func(message.Progress)) error {
	<-ctx.Done()
	return ctx.Err()
}

func testRequest(repeatable bool) Request {
	return Request{
		ID:        "request-1",
		Row:       policy.Row{Service: "lookup", Kind: policy.KindLive, Pool: "pool", Model: "model", Staleness: 1, Repeatable: repeatable},
		Prompt:    "prompt",
		MaxTokens: 100,
	}
}

func (f *fakeCluster) router() *CellRouter {
	return New(Options{
		NodeID:          "node",
		Zone:            "a",
		Caller:          f,
		View:            f,
		Announcer:       f,
		Tables:          f,
		Logger:          zerolog.Nop(),
		Strategy:        "least-load", // picks the first of equal cells
		HandoverTimeout: time.Second,
		ContinueTimeout: 2 * time.Second,
		StaleAfter:      time.Hour,
	})
}
