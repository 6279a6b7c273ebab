package machines

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against downloading and decoding an unchanged list.
func TestListIsCachedByETag(t *testing.T) {
	var fullResponses atomic.Int64
	tag, body := `"1"`, `{"machines":[{"id":"a"}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullResponses.Add(1)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	source := NewHTTP(server.URL, nil)
	for range 3 {
		list, err := source.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Machines), 1)
	}
	assert.Equal(t, fullResponses.Load(), int64(1))
	tag, body = `"2"`, `{"machines":[{"id":"a"},{"id":"b"}]}`
	list, err := source.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(list.Machines), 2)
}

func TestListWithoutETagIsNotCached(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("If-None-Match") == "")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"machines":[{"id":"a"}]}`))
	}))
	defer server.Close()
	source := NewHTTP(server.URL, nil)
	for range 2 {
		list, err := source.List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Machines), 1)
	}
	status = http.StatusServiceUnavailable
	_, err := source.List(context.Background())
	assert.ErrorContains(t, err, "503")
}
