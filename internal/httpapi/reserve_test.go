package httpapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/connections"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// An object of many small values takes far more memory than its bytes.
func TestObjectOfManyValuesIsChargedByItsValues(t *testing.T) {
	server, err := boundedhttp.Listen(boundedhttp.Options{
		Address: "127.0.0.1:0", Set: connections.NewSet(bytebudget.New(1 << 20)), Group: connections.NewGroup(10),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var into struct{ Values []struct{} }
			if err := DecodeJSON(w, r, 4<<20, &into); err != nil {
				w.WriteHeader(errkind.From(err).Kind.Response().Status)
			}
		}),
		Limits: func() boundedhttp.Limits {
			return boundedhttp.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	})
	assert.NilError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	post := func(values int) int {
		body := `{"Values":[` + strings.Repeat(`{},`, values) + `{}]}`
		response, err := http.Post("http://"+server.Address(), mediaTypeJSON, strings.NewReader(body))
		assert.NilError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, post(100), http.StatusOK)
	assert.Equal(t, post(100_000), http.StatusRequestEntityTooLarge)
}

// Errors must look alike whether a request was decoded or not.
func TestEncodeErrorEqualsWrittenError(t *testing.T) {
	failure := errkind.New(errkind.NoCapacity, "no memory")
	recorder := httptest.NewRecorder()
	WriteError(recorder, failure)
	header, content := EncodeError(failure)
	assert.DeepEqual(t, header, recorder.Header())
	assert.Equal(t, string(content), recorder.Body.String())
}
