package hosted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// rawEngine is an engine whose responses a test writes byte by byte.
type rawEngine struct {
	t        *testing.T
	engine   *standin.Engine
	listener net.Listener
	// respond writes the response to a request and reports whether the connection stays open. sound is the response of
	// an engine that works.
	respond func(connection *net.TCPConn, request *http.Request, sound *http.Response) bool

	mu       sync.Mutex
	requests map[string]int
}

// addRawEngine starts a raw engine and lists it as ready.
func (d *deployment) addRawEngine(
	options standin.EngineOptions, respond func(*net.TCPConn, *http.Request, *http.Response) bool,
) *rawEngine {
	d.t.Helper()
	if options.Events == nil {
		options.Events = func(string) int { return 4 }
	}
	options.Zone = "z1"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	raw := &rawEngine{
		t: d.t, engine: standin.NewEngine(options), listener: listener, respond: respond, requests: make(map[string]int),
	}
	d.t.Cleanup(func() { _ = listener.Close() })
	go raw.serve()
	d.store.Log.Put("keyed.servers", raw.engine.ID(), raw.engine.Entry(listener.Addr().String(), "ready"))
	return raw
}

func (e *rawEngine) serve() {
	for {
		connection, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serveConnection(connection.(*net.TCPConn))
	}
}

func (e *rawEngine) serveConnection(connection *net.TCPConn) {
	defer connection.Close()
	source := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(source)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		e.engine.ServeHTTP(recorder, request)
		if !e.respond(connection, request, recorder.Result()) {
			return
		}
	}
}

// countRequest returns how many requests with the ID have come, including this one.
func (e *rawEngine) countRequest(request *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := request.Header.Get("X-Corkpulley-Attempt-Id")
	e.requests[id]++
	return e.requests[id]
}

// encodeHead returns the head of a response with the given framing headers, up to and including its empty line.
func encodeHead(response *http.Response, framing map[string]string) []byte {
	header := response.Header.Clone()
	header.Del("Content-Length")
	for name, value := range framing {
		header.Set(name, value)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", response.StatusCode, http.StatusText(response.StatusCode))
	_ = header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}

// writeSound writes a response as it is and keeps the connection open.
func writeSound(connection *net.TCPConn, response *http.Response) bool {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	head := encodeHead(response, map[string]string{"Content-Length": fmt.Sprint(len(body))})
	_, err = connection.Write(append(head, body...))
	return err == nil
}

// endBy closes a connection in an orderly way, or resets it.
func endBy(connection *net.TCPConn, reset bool) {
	if reset {
		_ = connection.SetLinger(0)
	}
	_ = connection.Close()
}
