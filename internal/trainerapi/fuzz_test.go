package trainerapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Guards against request bodies that cause an internal error or a rejection that
// does not report the request as not executed.
func FuzzBodies(f *testing.F) {
	f.Add(validStep)
	f.Add(`{"step":"s","trainer_version":1,"holding":["s/0/1"],"max":8,"wait_ms":10}`)
	f.Add(`{"token":3,"samples":["s/0/1"],"trainer_version":1}`)
	f.Add(`{"trainer_version":18446744073709551615}`)
	f.Add(`{"samples_per_prompt":1e99}`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		calls := newFixture()
		for path, method := range map[string]string{
			"/v1/trainers/drafts/steps/s": http.MethodPut,
			"/v1/trainers/drafts/fetch":   http.MethodPost,
			"/v1/trainers/drafts/ack":     http.MethodPost,
		} {
			status, detail := calls.do(t, method, path, body)
			if status != http.StatusOK {
				assert.Assert(t, detail.Code != "" && detail.Code != "internal", "%s: %+v", path, detail)
				assert.Equal(t, detail.Executed, "no", "%s: %+v", path, detail)
			}
		}
		// A live service accepts no steps.
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPut, "/v1/trainers/desk/steps/s", strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		calls.routes.ServeHTTP(recorder, request)
		assert.Assert(t, recorder.Code != http.StatusOK, "a live service accepted a step")
		assert.Assert(t, recorder.Header().Get(api.HeaderExecuted) == "no")
	})
}
