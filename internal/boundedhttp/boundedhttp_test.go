package boundedhttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/connections"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// startServer serves until the test ends. Its limits are those of fixed listeners, unless changed.
func startServer(t *testing.T, handler http.Handler, change func(options *Options)) *Server {
	t.Helper()
	options := Options{
		Address: "127.0.0.1:0", Handler: handler,
		Set: connections.NewSet(bytebudget.New(64 << 20)), Group: connections.NewGroup(100),
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: time.Minute}
		},
	}
	if change != nil {
		change(&options)
	}
	s, err := Listen(options)
	assert.NilError(t, err)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	assert.NilError(t, connection.SetDeadline(time.Now().Add(30*time.Second)))
	return connection
}

func write(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(connection, text)
	assert.NilError(t, err)
}

// readResponse reads a response with its body.
func readResponse(t *testing.T, source *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(source, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

// echo responds with the request's body.
var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		failure := errkind.From(err)
		http.Error(w, failure.Error(), failure.Kind.Response().Status)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
})

// Requests must be told apart however their bytes are cut into packets.
func TestRequestsAreDelimitedInAnyPieces(t *testing.T) {
	const requests = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab\r\n\r" +
		"GET /b HTTP/1.1\r\nHost: h\r\n\r\n" + "\r\n\r\nPOST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" +
		"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nxyz\r\n0\r\n\r\n" +
		"GET /e HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nvw\r\n0\r\nTrailer: t\r\n\r\n"
	s := startServer(t, echo, nil)
	for _, piece := range []int{1, 3, 17, 60, len(requests)} {
		connection := dial(t, s)
		go func() {
			for rest := requests; rest != ""; {
				size := min(piece, len(rest))
				if _, err := io.WriteString(connection, rest[:size]); err != nil {
					return
				}
				rest = rest[size:]
				time.Sleep(100 * time.Microsecond)
			}
		}()
		source := bufio.NewReader(connection)
		for _, expected := range []string{"POST /a ab\r\n\r", "GET /b ", "POST /c ", "POST /d xyz", "GET /e ", "POST /f vw"} {
			_, body := readResponse(t, source)
			assert.Equal(t, body, expected, "pieces of %d", piece)
		}
		_, err := source.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF), "the connection ends after a body with trailers: %v", err)
	}
}

func TestRefusalRepeatsIDOfRequest(t *testing.T) {
	refused := make(chan string, 1)
	s := startServer(t, echo, func(options *Options) {
		options.IDHeader = "X-Id"
		options.OnRefused = func(id string, failure *errkind.Error) { refused <- id + " " + failure.Kind.String() }
	})
	connection := dial(t, s)
	write(t, connection, "GET / HTTP/1.1\r\nHost: h\r\nx-id: r1\r\na: "+strings.Repeat("x", 16<<10))
	response, _ := readResponse(t, bufio.NewReader(connection))
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, response.Header.Get("X-Id"), "r1")
	assert.Equal(t, <-refused, "r1 header_too_large")
}

// A legal request that finds no memory is refused with a time to come back, and served once there is some.
func TestRequestWithoutMemoryIsRefusedWithRetryDelay(t *testing.T) {
	budget := bytebudget.New(1 << 20)
	s := startServer(t, echo, func(options *Options) { options.Set = connections.NewSet(budget) })
	assert.Assert(t, budget.Reserve(bytebudget.Answers, 1<<20))
	connection := dial(t, s)
	write(t, connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, _ := readResponse(t, bufio.NewReader(connection))
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "0.3")
	budget.Release(bytebudget.Answers, 1<<20)
	connection = dial(t, s)
	write(t, connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, _ = readResponse(t, bufio.NewReader(connection))
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Whatever a request reserved must return to the budget, or the node refuses all requests in the end.
func TestReservationsEndWithTheirRequests(t *testing.T) {
	budget := bytebudget.New(64 << 20)
	s := startServer(t, echo, func(options *Options) { options.Set = connections.NewSet(budget) })
	for _, request := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("x", 20_000),
	} {
		connection := dial(t, s)
		write(t, connection, request)
		_, _ = readResponse(t, bufio.NewReader(connection))
		testwait.Until(t, "the memory to be released", func() bool {
			return budget.Held(bytebudget.Headers) == 0 && budget.Held(bytebudget.Bodies) == 0
		})
	}
	partial := dial(t, s)
	write(t, partial, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
	testwait.Until(t, "the body to be charged", func() bool { return budget.Held(bytebudget.Bodies) >= 100_000 })
	_ = partial.Close()
	testwait.Until(t, "the memory to be released", func() bool {
		return budget.Held(bytebudget.Headers) == 0 && budget.Held(bytebudget.Bodies) == 0
	})
}

// A byte behind a running request begins the next one.
func TestPipelinedRequestIsServedAfterTheFirst(t *testing.T) {
	proceed := make(chan struct{})
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-proceed
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), nil)
	connection := dial(t, s)
	write(t, connection, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	testwait.Until(t, "the first request to run", func() bool { return s.InFlight() == 1 })
	write(t, connection, "\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\nGET /third HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	source := bufio.NewReader(connection)
	for _, expected := range []string{"/first", "/second", "/third"} {
		_, body := readResponse(t, source)
		assert.Equal(t, body, expected)
	}
}

// A handler must notice that its client has left, also when it sent something behind its request before.
func TestContextEndsWhenClientLeaves(t *testing.T) {
	left := make(chan struct{})
	s := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}), nil)
	connection := dial(t, s)
	write(t, connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n")
	testwait.Until(t, "the request to run", func() bool { return s.InFlight() == 1 })
	_ = connection.Close()
	<-left
}

// Shutdown must not cut the response to a request that has been read.
func TestShutdownCompletesRequests(t *testing.T) {
	proceed := make(chan struct{})
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, "complete")
	}), nil)
	connection := dial(t, s)
	write(t, connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	testwait.Until(t, "the request to run", func() bool { return s.InFlight() == 1 })
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	_, body := readResponse(t, bufio.NewReader(connection))
	assert.Equal(t, body, "complete")
	assert.NilError(t, <-ended)
}

func TestBodyDeadlineGrowsWithReceivedBytes(t *testing.T) {
	began := time.Unix(1000, 0)
	body := &bodyState{began: began, remaining: 10 * minBodyRate}
	assert.Equal(t, body.deadline(), began.Add(bodyGrace))
	body.receive(make([]byte, 10*minBodyRate+5))
	assert.Equal(t, body.deadline(), began.Add(bodyGrace+10*time.Second))
}

func TestListenersShareDescriptorsAndMemory(t *testing.T) {
	for _, node := range []settings.Node{
		{MemoryMB: 344, MaxDescriptors: 8200}, {MemoryMB: 88, MaxDescriptors: 4100}, {MaxDescriptors: 200}, {},
	} {
		listeners := NewListeners(node, nil)
		total := 0
		for _, group := range []*connections.Group{listeners.Callers, listeners.Peers, listeners.Operators} {
			total += group.Limit()
		}
		assert.Assert(t, total <= descriptorLimit(node)*3/4, "%+v: %d connections", node, total)
		assert.Assert(t, int64(total)*connectionBytes <= memoryBytes(node)/3, "%+v: %d connections", node, total)
	}
}

// A client must not extend the time of its header by sending a byte now and then.
func TestTrickledHeaderIsClosed(t *testing.T) {
	s := startServer(t, echo, func(options *Options) {
		options.Limits = func() Limits {
			return Limits{MaxHeaderBytes: MaxHeaderBytes, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute}
		}
	})
	connection := dial(t, s)
	go func() {
		for {
			if _, err := io.WriteString(connection, "x"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	_, err := io.ReadAll(connection)
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the connection is still open")
}

// A body that its handler does not read waits in the kernel, which the request is charged for.
func TestBodyBesideItsMethodIsCharged(t *testing.T) {
	budget := bytebudget.New(1 << 20)
	proceed := make(chan struct{})
	s := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-proceed }), func(options *Options) {
		options.Set, options.IDHeader = connections.NewSet(budget), "X-Id"
	})
	defer close(proceed)
	const request = "GET / HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\n"
	for range 3 {
		write(t, dial(t, s), request)
	}
	testwait.Until(t, "three requests to run", func() bool { return s.InFlight() == 3 })
	connection := dial(t, s)
	write(t, connection, request)
	response, _ := readResponse(t, bufio.NewReader(connection))
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("X-Id"), "r1")
	assert.Equal(t, response.Header.Get("Retry-After"), "0.3")
}

// A response to a request whose body its handler does not read must not wait for the body: its client waits for the response.
func TestResponseDoesNotWaitForUnreadBody(t *testing.T) {
	s := startServer(t, http.NotFoundHandler(), nil)
	for _, framing := range []string{
		"Content-Length: 1000000", "Expect: 100-continue\r\nContent-Length: 10",
		"Expect: 100-continue\r\nTransfer-Encoding: chunked",
	} {
		connection := dial(t, s)
		assert.NilError(t, connection.SetDeadline(time.Now().Add(bodyGrace/2)))
		write(t, connection, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n")
		response, _ := readResponse(t, bufio.NewReader(connection))
		assert.Equal(t, response.StatusCode, http.StatusNotFound, framing)
	}
}
