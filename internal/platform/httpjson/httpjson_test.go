package httpjson_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/httpjson"
)

type note struct {
	Text string `json:"text"`
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func TestCallEncodesRequestAndDecodesResponse(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("Content-Type") == "application/json")
		_, _ = io.Copy(w, r.Body)
	})
	client := httpjson.Client{Service: "echo", MaxResponseBytes: 1 << 10}
	var got note
	err := client.Call(context.Background(), http.MethodPost, target, note{Text: "x"}, &got)
	assert.NilError(t, err)
	assert.Equal(t, got, note{Text: "x"})
	assert.NilError(t, client.Call(context.Background(), http.MethodGet, target, nil, nil))
	err = client.Call(context.Background(), http.MethodGet, target, nil, &got)
	assert.ErrorContains(t, err, "decode response")
}

func TestErrorResponseNamesServiceAndIsBounded(t *testing.T) {
	target := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "0123456789", http.StatusServiceUnavailable)
	})
	client := httpjson.Client{Service: "echo", MaxResponseBytes: 4}
	err := client.Call(context.Background(), http.MethodGet, target, nil, nil)
	assert.Error(t, err, "echo answered 503 Service Unavailable: 0123")
	answer, err := client.Send(context.Background(), http.MethodGet, target, nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
}
