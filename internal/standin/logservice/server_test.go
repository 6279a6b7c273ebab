package logservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/logservice"
)

func postControl(t *testing.T, url, body string) int {
	t.Helper()
	response, err := http.Post(url+"/v1/control", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against a fault whose error states another outcome than the append had.
func TestInjectedFaults(t *testing.T) {
	ctx := t.Context()
	server := httptest.NewServer(New(Config{Seed: 1}).Handler())
	defer server.Close()
	service := logservice.NewHTTP(server.URL, server.Client())
	record := [][]byte{{1}}

	offset, err := service.Append(ctx, "s", record)
	assert.NilError(t, err)
	assert.Equal(t, offset, int64(0))

	assert.Equal(t, postControl(t, server.URL, `{"refuse":1}`), http.StatusOK)
	_, err = service.Append(ctx, "s", record)
	assert.ErrorIs(t, err, logservice.ErrRefused)

	assert.Equal(t, postControl(t, server.URL, `{"down":true}`), http.StatusOK)
	_, err = service.Append(ctx, "s", record)
	assert.ErrorIs(t, err, logservice.ErrOutcomeUnknown)
	_, err = service.Read(ctx, "s", 0, 1, 0)
	assert.ErrorIs(t, err, logservice.ErrUnavailable)

	assert.Equal(t, postControl(t, server.URL, `{"lose_answers":1,"late_ms":20}`), http.StatusOK)
	_, err = service.Append(ctx, "s", [][]byte{{2}, {3}})
	assert.ErrorIs(t, err, logservice.ErrOutcomeUnknown)
	batch, err := service.Read(ctx, "s", 1, 10, 30*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Entries), 2)
	assert.Equal(t, batch.End, int64(3))

	batch, err = service.Read(ctx, "s", -2, 1, 0)
	assert.NilError(t, err)
	want := []logservice.Entry{{Offset: 1, Data: []byte{2}}}
	assert.DeepEqual(t, batch.Entries, want)
	assert.Equal(t, postControl(t, server.URL, `{"unknown":1}`), http.StatusBadRequest)
}
