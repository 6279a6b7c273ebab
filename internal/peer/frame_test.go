package peer

import (
	"bufio"
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against frames that are read differently than they were written, and against parsers that panic.
func FuzzReadFrame(f *testing.F) {
	seed := newFrame(frameCall, 7)
	assert.NilError(f, seed.setMethod(MethodProbe))
	assert.NilError(f, seed.encode(&echo{Text: "seed"}))
	f.Add(bytes.Clone(seed.bytes()))
	credit := newFrame(frameCredit, 9)
	credit.setCredit(1 << 20)
	f.Add(bytes.Clone(credit.bytes()))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 1})
	f.Add([]byte{0, 0, 0, 1, 99, 0, 0, 0, 1, 0})
	f.Add([]byte{})
	oversized := newFrame(frameCall, 7)
	assert.NilError(f, oversized.setMethod(MethodProbe))
	oversized.buffer.Write([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x80})
	f.Add(bytes.Clone(oversized.bytes()))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		offset := 0
		for {
			received, err := readFrame(reader)
			if err != nil {
				return
			}
			header := make([]byte, frameHeaderSize)
			putHeader(header, received.kind, received.streamID, len(received.body.data))
			encoded := append(header, received.body.data...)
			assert.DeepEqual(t, encoded, data[offset:offset+received.size()])
			offset += received.size()
			checkBodyParsers(t, received)
		}
	})
}

func checkBodyParsers(t *testing.T, received frame) {
	method, payload, err := splitRequest(received.body.data)
	if err == nil {
		assert.Equal(t, 1+len(method)+len(payload), len(received.body.data))
		_ = decode(payload, &echo{})
		_ = decode(payload, &[]hello{})
	}
	if consumed, err := parseCredit(received.body.data); err == nil {
		assert.Assert(t, consumed >= 0)
	}
}

func BenchmarkCall(b *testing.B) {
	server := newTestTransport(b, "server", func(registry Registry) { registry.HandleCall(MethodTable, echoCall) })
	client := newTestTransport(b, "client", func(Registry) {})
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		var response echo
		if err := client.Call(ctx, server.Address(), MethodTable, &echo{Text: "x"}, &response); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStreamChunk(b *testing.B) {
	total := b.N
	server := newTestTransport(b, "server", func(registry Registry) {
		registry.HandleStream(MethodSubmit, func(_ context.Context, _ Request, sender Sender) error {
			chunk := &echo{Text: "request", Items: []string{"token"}}
			for range total {
				if err := sender.Send(chunk); err != nil {
					return err
				}
			}
			return nil
		})
	})
	client := newTestTransport(b, "client", func(Registry) {})
	stream, err := client.OpenStream(context.Background(), server.Address(), MethodSubmit, nil)
	assert.NilError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	for range total {
		var chunk echo
		if err := stream.Receive(&chunk); err != nil {
			b.Fatal(err)
		}
	}
}
