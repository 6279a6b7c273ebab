package logservice

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func serve(t *testing.T, handler http.HandlerFunc) Service {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewHTTP(server.URL, server.Client())
}

func answer(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}
}

func TestAppendErrorByResponse(t *testing.T) {
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"appended":                  {answer(200, `{"offset":7}`), nil},
		"refused in 503":            {answer(503, `{"refused":true}`), ErrRefused},
		"refused in 413":            {answer(413, `{"refused":true}`), ErrRefused},
		"refused in 500":            {answer(500, `{"refused":true}`), ErrOutcomeUnknown},
		"503 without refused field": {answer(503, `{}`), ErrOutcomeUnknown},
		"proxy error page":          {answer(502, `<html>`), ErrOutcomeUnknown},
		"contradiction":             {answer(200, `{"offset":7,"refused":true}`), ErrOutcomeUnknown},
		"redirect":                  {answer(307, `{}`), ErrOutcomeUnknown},
		"connection breaks":         {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
		"response is too large":     {answer(200, string(make([]byte, maxAppendResponseBytes+1))), ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			offset, err := serve(t, test.handler).Append(t.Context(), "s", [][]byte{{1}})
			if test.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, offset, int64(7))
				return
			}
			assert.ErrorIs(t, err, test.want)
		})
	}
}

func TestAppendIsRefusedWhenNothingWasSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.URL
	server.Close()
	service := NewHTTP(address, http.DefaultClient)
	_, err := service.Append(t.Context(), "s", [][]byte{{1}})
	assert.ErrorIs(t, err, ErrRefused)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = service.Append(ended, "s", [][]byte{{1}})
	assert.ErrorIs(t, err, ErrRefused)
}

func TestReadRejectsInvalidBatches(t *testing.T) {
	for name, body := range map[string]string{
		"gap":          `{"entries":[{"offset":3},{"offset":5}],"end":6}`,
		"wrong start":  `{"entries":[{"offset":4}],"end":6}`,
		"past the end": `{"entries":[{"offset":3}],"end":3}`,
		"too many":     `{"entries":[{"offset":3},{"offset":4},{"offset":5}],"end":6}`,
		"not JSON":     `<html>`,
	} {
		_, err := serve(t, answer(200, body)).Read(t.Context(), "s", 3, 2, 0)
		assert.ErrorIs(t, err, ErrUnavailable, name)
	}
	valid := `{"entries":[{"offset":3,"data":"AQ=="},{"offset":4,"data":"Ag=="}],"end":9}`
	batch, err := serve(t, answer(200, valid)).Read(t.Context(), "s", 3, 2, 0)
	assert.NilError(t, err)
	want := Batch{Entries: []Entry{{Offset: 3, Data: []byte{1}}, {Offset: 4, Data: []byte{2}}}, End: 9}
	assert.DeepEqual(t, batch, want)
}

func TestReadRejectsOversizeResponse(t *testing.T) {
	huge := func(writer http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for range MaxReadBytes/len(chunk) + 1 {
			if _, err := writer.Write(chunk); err != nil {
				return
			}
		}
	}
	_, err := serve(t, huge).Read(t.Context(), "s", 0, 10, 0)
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.ErrorIs(t, err, ErrUnavailable)
}
