package callerwrite

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// stallTimeout can be short, since the callers of these tests read at once or never.
const stallTimeout = 200 * time.Millisecond

// serve starts a server and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// call sends a request and does not read the response.
func call(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	// A small receive buffer, so that the response does not fit into the sockets.
	assert.NilError(t, connection.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	return connection
}

func TestWriteToStalledCaller(t *testing.T) {
	var left atomic.Int64
	budget := bytebudget.New(1 << 30)
	limits := Limits{Budget: budget, StallTimeout: stallTimeout, OnStalled: func(bytes int) { left.Store(int64(bytes)) }}
	ended := make(chan error, 1)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		ended <- limits.Write(w, make([]byte, 32<<20))
	})
	call(t, address)
	assert.Assert(t, <-ended != nil)
	assert.Assert(t, left.Load() > 0)
	assert.Equal(t, budget.Held(bytebudget.Answers), int64(0))
}

func TestWriteToReadingCaller(t *testing.T) {
	content := bytes.Repeat([]byte("answer "), 1<<20)
	limits := Limits{StallTimeout: stallTimeout}
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/whole" {
			_ = limits.Write(w, content)
			return
		}
		spool := NewSpool(w, limits)
		for rest := content; len(rest) > 0; {
			chunk := rest[:min(1000, len(rest))]
			if err := spool.Write(chunk); errors.Is(err, ErrFull) {
				spool.AwaitProgress(r.Context())
				continue
			}
			rest = rest[len(chunk):]
		}
		assert.NilError(t, spool.Close())
	})
	for _, path := range []string{"/whole", "/spooled"} {
		answer, err := http.Get("http://" + address + path)
		assert.NilError(t, err)
		read, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		_ = answer.Body.Close()
		assert.Assert(t, bytes.Equal(read, content), path)
	}
}

// Up to MaxBufferedBytes bytes must be accepted without waiting for the caller.
func TestSpoolAcceptsMaxBufferedBytesForStalledCaller(t *testing.T) {
	budget := bytebudget.New(1 << 30)
	ended := make(chan error, 1)
	full := make(chan int, 1)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		spool := NewSpool(w, Limits{Budget: budget, StallTimeout: stallTimeout})
		accepted, reported := 0, false
		for accepted < 64<<20 {
			err := spool.Write(make([]byte, 8<<10))
			switch {
			case err == nil:
				accepted += 8 << 10
				continue
			case !errors.Is(err, ErrFull):
				ended <- spool.Close()
				return
			case !reported:
				reported = true
				full <- accepted
			}
			spool.AwaitProgress(r.Context())
		}
		ended <- spool.Close()
	})
	call(t, address)
	assert.Assert(t, <-full >= MaxBufferedBytes-8<<10)
	assert.Assert(t, <-ended != nil)
	testwait.Until(t, "all bytes are released", func() bool { return budget.Held(bytebudget.Answers) == 0 })
}

// Guards against a caller whose buffer grows while others exhaust the node's budget.
func TestSpoolIsFullWhileBudgetIsExceeded(t *testing.T) {
	budget := bytebudget.New(1 << 20)
	budget.ForceReserve(bytebudget.Answers, 2<<20)
	failure := make(chan error, 1)
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		spool := NewSpool(w, Limits{Budget: budget, StallTimeout: stallTimeout})
		err := error(nil)
		for err == nil {
			err = spool.Write(make([]byte, 64<<10))
		}
		failure <- err
		_ = spool.Close()
	})
	call(t, address)
	assert.Assert(t, errors.Is(<-failure, ErrFull))
}
