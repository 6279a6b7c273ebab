package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/httpapi"
)

func runMain(commandLine ...string) (code int, output, errorOutput string) {
	var standardOutput, standardError bytes.Buffer
	code = Main(commandLine, &standardOutput, &standardError)
	return code, standardOutput.String(), standardError.String()
}

func TestMainPrintsHelpAndUsage(t *testing.T) {
	code, output, _ := runMain("--help")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(output, "Examples:"))
	code, output, _ = runMain("standin", "engine", "--help")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(output, "--token-interval"))
	for _, commandLine := range [][]string{nil, {"standin"}, {"dance"}, {"load", "--rate", "fast"}, {"demo", "--bogus"}} {
		code, _, errorOutput := runMain(commandLine...)
		assert.Equal(t, code, ExitUsage, "%v", commandLine)
		assert.Assert(t, errorOutput != "")
	}
}

func TestMainRejectsArgumentsOutOfRange(t *testing.T) {
	code, _, errorOutput := runMain("demo", "--seconds", "0")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errorOutput, "1..600"))
	for _, invalid := range [][]string{
		{"run", "--workload", "nowhere"},
		{"run", "--workload", "cascadia", "--seeds", "0"},
		{"run", "--workload", "cascadia", "--compare", "best"},
		{"run", "--workload", "cascadia", "--compare", "round-robin", "--baseline", "least-load"},
	} {
		code, _, errorOutput = runMain(invalid...)
		assert.Equal(t, code, ExitFailed, "%v", invalid)
		assert.Assert(t, errorOutput != "")
	}
	code, _, errorOutput = runMain("load", "--address", "127.0.0.1:1", "--service", "s", "--rate", "1e9")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errorOutput, "20000"))
}

func TestLoadFailsOnInconsistentErrorResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		detail := httpapi.ErrorDetail(errkind.New(errkind.QueueFull, "full"))
		detail.Executed = "yes"
		w.Header().Set("X-Corkpulley-Executed", "no")
		httpapi.WriteJSON(w, http.StatusTooManyRequests, map[string]any{"error": detail})
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, output, errorOutput := runMain("load", "--address", address, "--service", "s", "--rate", "100", "--seconds", "0.2", "--json")
	assert.Equal(t, code, ExitFailed, output)
	assert.Assert(t, strings.Contains(errorOutput, "violated an invariant"))
}
