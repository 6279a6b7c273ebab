package httpserver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/httpserver"
)

func TestServeReportsAddressAndStopsWithContext(t *testing.T) {
	listener := httpserver.NewListener("echo", "")
	assert.Equal(t, listener.Address(), "")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpserver.WriteJSON(w, http.StatusTeapot, struct{}{})
	})
	go func() { ended <- listener.Serve(ctx, handler) }()
	<-listener.Ready()
	response, err := http.Get("http://" + listener.Address())
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusTeapot)
	taken := httpserver.NewListener("second", listener.Address())
	assert.ErrorContains(t, taken.Serve(ctx, handler), "second listen")
	cancel()
	assert.NilError(t, <-ended)
}

func TestDecodeJSONRejectsInvalidBody(t *testing.T) {
	for body, status := range map[string]int{
		`{"text":"x"}`: http.StatusOK,
		`{"text":1}`:   http.StatusBadRequest,
		`{"text":"` + strings.Repeat("x", 65<<10) + `"}`: http.StatusBadRequest,
	} {
		var message struct{ Text string }
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		good := httpserver.DecodeJSON(recorder, request, &message)
		assert.Equal(t, good, status == http.StatusOK)
		assert.Equal(t, recorder.Code, status)
	}
}
