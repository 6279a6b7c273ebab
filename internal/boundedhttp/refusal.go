package boundedhttp

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/requesthead"
)

const (
	// memoryRetryAfter is the Retry-After delay of requests that are refused for lack of memory.
	memoryRetryAfter = 300 * time.Millisecond
	// refusalWriteTimeout bounds the write of a refusal. Afterwards up to lingerBytes of the client are discarded within
	// lingerTimeout, since a connection that is closed with unread bytes is reset, and the refusal lost.
	refusalWriteTimeout = time.Second
	lingerTimeout       = 300 * time.Millisecond
	lingerBytes         = 256 << 10
)

func headerTooLarge(limit int) *errkind.Error {
	return errkind.New(errkind.HeaderTooLarge, "header exceeds %d bytes", limit)
}

func noMemory(bytes int64) *errkind.Error {
	failure := errkind.New(errkind.NoCapacity, "no memory for %d bytes more of requests at this node", bytes)
	failure.RetryAfter = memoryRetryAfter
	return failure
}

// refuse answers the request that is arriving in place of http.Server, which has not seen it, and ends the connection. The
// error makes http.Server close it without an answer.
func (c *connection) refuse(failure *errkind.Error) error {
	id, _ := requesthead.Field(c.buffered, c.server.options.IDHeader)
	c.server.options.OnRefused(id, failure)
	c.buffered, c.admitted = nil, 0
	header, content := c.server.refusal(id, failure)
	status := failure.Kind.Response().Status
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&response)
	response.WriteString("\r\n")
	response.Write(content)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.Conn.Write(response.Bytes()); err == nil {
		c.linger()
	}
	return io.EOF
}

// linger discards what the client still sends.
func (c *connection) linger() {
	_ = c.CloseWrite()
	c.setClientDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// refuse answers a request that was decoded in place of its handler.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, failure *errkind.Error) {
	id := r.Header.Get(s.options.IDHeader)
	s.options.OnRefused(id, failure)
	header, content := s.refusal(id, failure)
	maps.Copy(w.Header(), header)
	w.WriteHeader(failure.Kind.Response().Status)
	_, _ = w.Write(content)
}

// refusal returns the header and the content of the response to a refused request, after which the connection ends.
func (s *Server) refusal(id string, failure *errkind.Error) (header http.Header, content []byte) {
	header, content = s.options.EncodeRefusal(failure)
	if id != "" {
		header.Set(s.options.IDHeader, id)
	}
	header.Set("Content-Length", strconv.Itoa(len(content)))
	header.Set("Connection", "close")
	return header, content
}

func encodePlainRefusal(failure *errkind.Error) (header http.Header, content []byte) {
	header = http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if delay := failure.Delay(); delay > 0 {
		header.Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', -1, 64))
	}
	return header, []byte(failure.Error() + "\n")
}
