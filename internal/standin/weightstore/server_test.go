package weightstore_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/weightstore"
	standin "github.com/corkpulley/corkpulley/internal/standin/weightstore"
)

func TestPublishInfoAndDownload(t *testing.T) {
	server := httptest.NewServer(standin.New(standin.Config{DownloadsPerSecond: 0.001}).Handler())
	defer server.Close()
	store := weightstore.NewHTTP(server.URL, nil)
	info, err := store.Info(t.Context(), "a/b")
	assert.NilError(t, err)
	assert.Equal(t, info.Latest, uint64(0))
	publish := func(version uint64) error {
		return store.Publish(t.Context(), "m", weightstore.PublishRequest{Version: version})
	}
	assert.NilError(t, publish(5))
	assert.NilError(t, publish(5))
	assert.ErrorContains(t, publish(4), "must be above 5")
	info, err = store.Info(t.Context(), "m")
	assert.NilError(t, err)
	assert.DeepEqual(t, info, weightstore.ModelInfo{Model: "m", Latest: 5})

	assert.Equal(t, download(t, server.URL, 6).StatusCode, http.StatusNotFound)
	assert.Equal(t, download(t, server.URL, 5).StatusCode, http.StatusOK)
	limited := download(t, server.URL, 5)
	assert.Equal(t, limited.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, limited.Header.Get("Retry-After"), "1000")
}

func download(t *testing.T, baseURL string, version uint64) *http.Response {
	t.Helper()
	response, err := http.Get(weightstore.VersionURL(baseURL, "m", version))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response
}

func TestInfoFailsWhileStoreIsDown(t *testing.T) {
	standinStore := standin.New(standin.Config{})
	server := httptest.NewServer(standinStore.Handler())
	defer server.Close()
	down := true
	standinStore.Control(standin.Control{Down: &down})
	_, err := weightstore.NewHTTP(server.URL, nil).Info(t.Context(), "m")
	assert.ErrorContains(t, err, "503")
}
