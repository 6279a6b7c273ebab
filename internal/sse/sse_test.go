package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestNextParsesEventsAndFields(t *testing.T) {
	const text = ": comment\nx-version: 7\nid: 4\ndata: one\ndata: two\n\nid:5\r\ndata:three\r\n\r\n"
	reader := NewReader(strings.NewReader(text))
	first, err := reader.Next()
	assert.NilError(t, err)
	assert.Equal(t, first.ID, int64(4))
	assert.Equal(t, string(first.Data), "one\ntwo")
	assert.DeepEqual(t, first.Fields, []Field{{Name: "x-version", Value: "7"}})
	second, err := reader.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(second.Data), "three")
	assert.Equal(t, string(first.Raw)+string(second.Raw), text)
	_, err = reader.Next()
	assert.Equal(t, err, io.EOF)
}

func TestNextReturnsUnexpectedEOFForTruncatedEvent(t *testing.T) {
	for _, text := range []string{"id: 1\nda", "id: 1\ndata: x\n", "id: 1\ndata: x"} {
		_, err := NewReader(strings.NewReader(text)).Next()
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%q: %v", text, err)
	}
}

func TestNextRejectsInvalidEvents(t *testing.T) {
	_, err := NewReader(strings.NewReader("id: x\ndata: y\n\n")).Next()
	assert.ErrorContains(t, err, "event ID")
	_, err = NewReader(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes) + "\n\n")).Next()
	assert.ErrorContains(t, err, "more than")
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Add([]byte("\n\n:\nid:\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := NewReader(bytes.NewReader(text))
		for read := 0; ; {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if read += len(event.Raw); len(event.Raw) == 0 || read > len(text) {
				t.Fatalf("read %d of %d bytes", read, len(text))
			}
		}
	})
}
