package boundedhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A connection must be closed when it has been idle for the current timeout, but not while a request is handled.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Hour))
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(150 * time.Millisecond) })
	s := startServer(t, handler, func(options *Options) {
		options.Limits = func() Limits {
			return Limits{
				MaxHeaderBytes: MaxHeaderBytes, HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: time.Duration(idle.Load()),
			}
		}
	})

	connection, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	request := func() {
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	request()
	idle.Store(int64(50 * time.Millisecond))
	request() // takes longer than the idle timeout, but is not idle
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = reader.ReadByte()
	assert.Assert(t, errors.Is(err, io.EOF), "the idle connection was not closed: %v", err)
}
