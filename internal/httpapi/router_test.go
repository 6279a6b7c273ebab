package httpapi

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
)

const (
	testBodyTimeout = 200 * time.Millisecond
	answerTimeout   = 30 * time.Second
)

func newTestServer(t *testing.T) *httptest.Server {
	router := NewRouter()
	router.HandleFunc("/v1/things", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, "thing")
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/things", func(w http.ResponseWriter, r *http.Request) {
		var into body
		if err := decodeJSONWithin(w, r, bodyLimit, testBodyTimeout, &into); err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, into)
	}).Methods(http.MethodPost)
	server := httptest.NewServer(withBodyTimeout(testBodyTimeout, serveHeadAsGet(router)))
	t.Cleanup(server.Close)
	return server
}

func send(t *testing.T, server *httptest.Server, method, path string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, server.URL+path, nil)
	assert.NilError(t, err)
	response, err := http.DefaultTransport.RoundTrip(request) // follows no redirect
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(content)
}

func TestHeadAnsweredLikeGet(t *testing.T) {
	response, content := send(t, newTestServer(t), http.MethodHead, "/v1/things")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, content, "")
}

func TestAllowHeaderOnOptionsAndWrongMethod(t *testing.T) {
	server := newTestServer(t)
	response, _ := send(t, server, http.MethodOptions, "/v1/things")
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
	assert.Equal(t, response.Header.Get("Allow"), "GET, HEAD, OPTIONS, POST")

	response, content := send(t, server, http.MethodDelete, "/v1/things")
	assert.Equal(t, response.StatusCode, http.StatusMethodNotAllowed)
	assert.Equal(t, response.Header.Get("Allow"), "GET, HEAD, OPTIONS, POST")
	assert.Assert(t, strings.Contains(content, "method_not_allowed"), content)
}

// Guards against redirects, after which clients repeat a POST as a GET.
func TestUnknownPathsNotRedirected(t *testing.T) {
	server := newTestServer(t)
	for _, path := range []string{"/", "/v1//things", "/v1/things/", "/v1/./things", "/v2"} {
		response, content := send(t, server, http.MethodPost, path)
		assert.Equal(t, response.StatusCode, http.StatusNotFound, path)
		var answer api.ErrorBody
		assert.NilError(t, json.Unmarshal([]byte(content), &answer), content)
		assert.Equal(t, answer.Error.Code, "not_found")
	}
}

// Guards against requests that hang because the client never completes its body,
// also when no handler reads the body.
func TestIncompleteBodyIsAnswered(t *testing.T) {
	server := newTestServer(t)
	for _, test := range []struct{ path, contentType, status string }{
		{"/v1/things", "application/json", "HTTP/1.1 408 "},
		{"/v1/things", "text/plain", "HTTP/1.1 415 "},
		{"/nowhere", "application/json", "HTTP/1.1 404 "},
	} {
		answer := sendIncompleteBody(t, server, test.path, test.contentType)
		assert.Assert(t, strings.HasPrefix(answer, test.status), "%s: %q", test.path, answer)
	}
}

func sendIncompleteBody(t *testing.T, server *httptest.Server, path, contentType string) string {
	t.Helper()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(answerTimeout)))
	_, err = io.WriteString(connection, "POST "+path+" HTTP/1.1\r\nHost: a\r\n"+
		"Content-Type: "+contentType+"\r\nContent-Length: 20\r\n\r\n{\"model\":")
	assert.NilError(t, err)
	answer := make([]byte, 4096)
	count, err := connection.Read(answer)
	assert.NilError(t, err, "%s with %s", path, contentType)
	return string(answer[:count])
}
