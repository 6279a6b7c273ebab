package scorer

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/platform/scorer"
)

func TestHTTPClientReturnsDeterministicScore(t *testing.T) {
	server := httptest.NewServer(New(Config{Seed: 7}).Handler())
	defer server.Close()
	adapter := scorer.NewHTTP(server.URL+"/", server.Client())
	request := scorer.Request{Trainer: "t", SampleID: "s/0/1", Prompt: "p", Text: "answer"}
	response, err := adapter.Score(t.Context(), request)
	assert.NilError(t, err)
	assert.Equal(t, response.Score, Score(7, "p", "answer"))
	repeated, err := adapter.Score(t.Context(), request)
	assert.NilError(t, err)
	assert.Equal(t, response, repeated)
	assert.Assert(t, Score(8, "p", "answer") != response.Score)
}

func TestHTTPClientReportsFailures(t *testing.T) {
	simulated := New(Config{Seed: 7, FailShare: 1})
	server := httptest.NewServer(simulated.Handler())
	adapter := scorer.NewHTTP(server.URL, server.Client())
	_, err := adapter.Score(t.Context(), scorer.Request{Text: "x"})
	assert.ErrorContains(t, err, "status 503")
	assert.Equal(t, simulated.Calls(), int64(1))
	server.Close()
	_, err = adapter.Score(t.Context(), scorer.Request{Text: "x"})
	assert.ErrorContains(t, err, "scorer: call")
}
