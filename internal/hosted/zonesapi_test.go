package hosted

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/httpapi"
)

// Guards against error responses without an API error code, and against redirects, which turn a PUT into a GET.
func TestZoneEndpointErrors(t *testing.T) {
	handler := (&node{}).operatorsHandler(http.HandlerFunc(httpapi.NotFound))
	for _, each := range []struct {
		method, path string
		status       int
		code         string
	}{
		{http.MethodPost, "/v1/zones", http.StatusMethodNotAllowed, "method_not_allowed"},
		{http.MethodPost, "/v1/zones/za/evacuation", http.StatusMethodNotAllowed, "method_not_allowed"},
		{http.MethodPut, "/v1/zones//evacuation", http.StatusNotFound, "not_found"},
		{http.MethodPut, "/v1/zones/a%2Fb/evacuation", http.StatusNotFound, "not_found"},
		{http.MethodPut, "/v1/zones/z%20a/evacuation", http.StatusBadRequest, "invalid_request"},
		{http.MethodGet, "/elsewhere", http.StatusNotFound, "not_found"},
	} {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(each.method, each.path, nil))
		assert.Equal(t, answer.Code, each.status, "%s %s", each.method, each.path)
		var body api.ErrorBody
		assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &body), "%s %s: %q", each.method, each.path, answer.Body)
		assert.Equal(t, body.Error.Code, each.code)
	}
}
