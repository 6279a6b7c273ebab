package router

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/corkpulley/corkpulley/internal/message"
)

// endlessStream returns a message of four tokens on each Receive.
type endlessStream struct{ next int }

func (s *endlessStream) Receive(into any) error {
	*into.(*message.Progress) = message.Progress{
		Attempt:    1,
		FirstToken: s.next,
		Tokens:     []string{"one ", "two ", "three ", "four "},
		Version:    3,
	}
	s.next += 4
	return nil
}

func (s *endlessStream) Close() {}

// BenchmarkRelay measures relaying one message, without msgpack decoding.
func BenchmarkRelay(b *testing.B) {
	relayed := 0
	request := testRequest(false)
	run := &attempts{router: newFakeCluster("n0").router(), request: &request}
	run.onPiece = func(Piece) error {
		relayed++
		if relayed == b.N {
			return context.Canceled
		}
		return nil
	}
	run.assembler.StartAttempt(1)
	b.ReportAllocs()
	_ = run.relay(&endlessStream{})
}

// BenchmarkChoose measures cell selection among 381 cells in 3 zones and 420 nodes.
func BenchmarkChoose(b *testing.B) {
	var nodes []string
	for index := range 420 {
		nodes = append(nodes, fmt.Sprintf("node-%d", index))
	}
	fake := newFakeCluster(nodes...)
	fake.cells = fake.cells[:381]
	for index := range fake.cells {
		fake.cells[index].Cell.Zone = string(rune('a' + index%3))
	}
	router := New(Options{NodeID: "node-1", Zone: "a", View: fake, Tables: fake})
	request := testRequest(true)
	request.Prompt = strings.Repeat("parcel 0412 ", 40)
	b.ReportAllocs()
	for b.Loop() {
		if _, found := router.choose(request.Row, &request, nil); !found {
			b.Fatal("no cell was chosen")
		}
	}
}
