package msgpackhttp

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/connections"
)

// A message of many small values takes far more memory than its bytes.
func TestRequestOfManyValuesIsChargedByItsValues(t *testing.T) {
	server, err := boundedhttp.Listen(boundedhttp.Options{
		Address: "127.0.0.1:0", Set: connections.NewSet(bytebudget.New(1 << 20)), Group: connections.NewGroup(10),
		Handler: Handle(4<<20, func(context.Context, struct{}) struct{} { return struct{}{} }),
		Limits: func() boundedhttp.Limits {
			return boundedhttp.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	})
	assert.NilError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	post := func(values int) int {
		// An array of 32 bits of length, of nil values.
		body := "\xdd" + string([]byte{byte(values >> 24), byte(values >> 16), byte(values >> 8), byte(values)}) +
			strings.Repeat("\xc0", values)
		response, err := http.Post("http://"+server.Address(), "", strings.NewReader(body))
		assert.NilError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, post(1000), http.StatusBadRequest, "it is no message, but affordable")
	assert.Equal(t, post(400_000), http.StatusRequestEntityTooLarge)
}

// A request whose length its sender does not announce must not cost a connection each time.
func TestDeferredCallsShareConnection(t *testing.T) {
	server, err := boundedhttp.Listen(boundedhttp.Options{
		Address: "127.0.0.1:0", Set: connections.NewSet(nil), Group: connections.NewGroup(10),
		Handler: Handle(4<<10, func(_ context.Context, request testRequest) testResponse { return testResponse(request) }),
		Limits: func() boundedhttp.Limits {
			return boundedhttp.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	})
	assert.NilError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	reused := 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			reused++
		}
	}})
	for range 3 {
		var response testResponse
		encode := func() (any, error) { return testRequest{Text: "load"}, nil }
		assert.NilError(t, CallDeferred(ctx, client, "http://"+server.Address(), encode, &response, 4<<10))
		assert.Equal(t, response.Text, "load")
	}
	assert.Equal(t, reused, 2)
}
