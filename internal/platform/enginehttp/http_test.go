package enginehttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/engine"
	"github.com/corkpulley/corkpulley/internal/platform/enginehttp"
)

var request = engine.GenerateRequest{RequestID: "r1", Attempt: 2, Model: "m", MaxTokens: 4}

func address(server *httptest.Server) string { return server.Listener.Addr().String() }

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return address(server)
}

func sendError(t *testing.T, err error) *engine.SendError {
	t.Helper()
	var failure *engine.SendError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

func TestGenerateReceivesAllChunks(t *testing.T) {
	long := strings.Repeat("x", 20_000)
	target := serve(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(writer, `{"request_id":"r1","attempt":2,"first_token":0,"tokens":["a","%s"],"version":7}`+"\n", long)
		_, _ = fmt.Fprintln(writer, `{"request_id":"r1","attempt":2,"first_token":2,"tokens":[],"version":7,"finished":true,"finish_reason":"stop"}`)
	})
	stream, err := enginehttp.NewHTTP(nil).Generate(t.Context(), target, request)
	assert.NilError(t, err)
	first, err := stream.Receive()
	assert.NilError(t, err)
	assert.DeepEqual(t, first, engine.Chunk{RequestID: "r1", Attempt: 2, Tokens: []string{"a", long}, Version: 7})
	last, err := stream.Receive()
	assert.NilError(t, err)
	assert.Assert(t, last.Finished)
	assert.Equal(t, last.FinishReason, engine.FinishStop)
	_, err = stream.Receive()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, stream.Close())
}

func TestFinishedStreamsReuseTheirConnection(t *testing.T) {
	connections := make(map[string]bool)
	target := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		connections[request.RemoteAddr] = true
		_, _ = fmt.Fprintln(writer, `{"request_id":"r1","attempt":2,"finished":true}`)
		_ = http.NewResponseController(writer).Flush()
	})
	client := enginehttp.NewHTTP(nil)
	for range 5 {
		stream, err := client.Generate(t.Context(), target, request)
		assert.NilError(t, err)
		_, err = stream.Receive()
		assert.NilError(t, err)
		assert.NilError(t, stream.Close())
	}
	assert.Equal(t, len(connections), 1)
}

func TestReceiveReportsBrokenStreams(t *testing.T) {
	bodies := map[string]string{
		"no chunk":          "",
		"truncated line":    `{"request_id":"r1","atte`,
		"not JSON":          "oops\n",
		"another request":   `{"request_id":"r2","attempt":2,"finished":true}` + "\n",
		"another attempt":   `{"request_id":"r1","attempt":1,"finished":true}` + "\n",
		"no version":        `{"request_id":"r1","attempt":2,"tokens":["a"]}` + "\n",
		"negative position": `{"request_id":"r1","attempt":2,"first_token":-1,"tokens":["a"],"version":1}` + "\n",
		"line too long":     strings.Repeat("x", 5<<20),
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			target := serve(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, body) })
			stream, err := enginehttp.NewHTTP(nil).Generate(t.Context(), target, request)
			assert.NilError(t, err)
			_, err = stream.Receive()
			assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
			_ = stream.Close()
		})
	}
}

func TestCloseUnblocksReceive(t *testing.T) {
	target := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	})
	stream, err := enginehttp.NewHTTP(nil).Generate(t.Context(), target, request)
	assert.NilError(t, err)
	received := make(chan error)
	go func() {
		_, err := stream.Receive()
		received <- err
	}()
	assert.NilError(t, stream.Close())
	assert.Assert(t, <-received != nil)
}

func TestRefusalReportsWhetherRequestRan(t *testing.T) {
	cases := []struct {
		name, body  string
		notExecuted bool
	}{
		{"not run", `{"code":"draining","message":"m","ran":false}`, true},
		{"ran", `{"code":"broken","message":"m","ran":true}`, false},
		{"no ran field", `{"code":"draining","message":"m"}`, false},
		{"not JSON", `gateway error`, false},
		{"no code", `{"ran":false}`, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			target := serve(t, func(writer http.ResponseWriter, _ *http.Request) {
				http.Error(writer, test.body, http.StatusServiceUnavailable)
			})
			_, err := enginehttp.NewHTTP(nil).Generate(t.Context(), target, request)
			failure := sendError(t, err)
			assert.Assert(t, failure.Sent)
			assert.Equal(t, failure.NotExecuted(), test.notExecuted)
		})
	}
}

func TestFailedDialIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = enginehttp.NewHTTP(nil).Generate(t.Context(), target, request)
	assert.Assert(t, sendError(t, err).NotExecuted())
}

func TestLostResponseIsSent(t *testing.T) {
	target := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := enginehttp.NewHTTP(nil).Generate(t.Context(), target, request)
	failure := sendError(t, err)
	assert.Assert(t, failure.Sent && !failure.NotExecuted())
}

func TestCanceledRequestAfterConnectIsSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	target := serve(t, func(_ http.ResponseWriter, request *http.Request) {
		// A server notices that its client disconnected only once it has read the body.
		_, _ = io.Copy(io.Discard, request.Body)
		cancel()
		<-request.Context().Done()
	})
	_, err := enginehttp.NewHTTP(nil).Generate(ctx, target, request)
	assert.Assert(t, sendError(t, err).Sent)
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	calls := 0
	target := serve(t, func(writer http.ResponseWriter, request *http.Request) {
		calls++
		http.Redirect(writer, request, "/v1/generate", http.StatusTemporaryRedirect)
	})
	_, err := enginehttp.NewHTTP(nil).Generate(t.Context(), target, request)
	assert.Assert(t, !sendError(t, err).NotExecuted())
	assert.Equal(t, calls, 1)
}

func BenchmarkReceive(b *testing.B) {
	line := `{"request_id":"r1","attempt":2,"first_token":12345,"tokens":["12345:17 "],"version":17}` + "\n"
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat(line, 64))
		for {
			if _, err := writer.Write(block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	stream, err := enginehttp.NewHTTP(nil).Generate(b.Context(), address(server), request)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Receive(); err != nil {
			b.Fatal(err)
		}
	}
	_ = stream.Close()
}
