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

func run(commandLine ...string) (code int, output, problems string) {
	var standardOutput, standardError bytes.Buffer
	code = Main(commandLine, &standardOutput, &standardError)
	return code, standardOutput.String(), standardError.String()
}

func TestHelpAndUsage(t *testing.T) {
	code, output, _ := run("--help")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(output, "Examples:"))
	code, output, _ = run("standin", "engine", "--help")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(output, "--token-interval"))
	for _, commandLine := range [][]string{nil, {"standin"}, {"dance"}, {"load", "--rate", "fast"}, {"demo", "--bogus"}} {
		code, _, problems := run(commandLine...)
		assert.Equal(t, code, ExitUsage, "%v", commandLine)
		assert.Assert(t, problems != "")
	}
}

func TestBoundsAreChecked(t *testing.T) {
	code, _, problems := run("demo", "--seconds", "0")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(problems, "1..600"))
	for _, wrong := range [][]string{
		{"run", "--workload", "nowhere"},
		{"run", "--workload", "cascadia", "--seeds", "0"},
		{"run", "--workload", "cascadia", "--compare", "best"},
		{"run", "--workload", "cascadia", "--compare", "round-robin", "--baseline", "least-load"},
	} {
		code, _, problems = run(wrong...)
		assert.Equal(t, code, ExitFailed, "%v", wrong)
		assert.Assert(t, problems != "")
	}
	code, _, problems = run("load", "--address", "127.0.0.1:1", "--service", "s", "--rate", "1e9")
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(problems, "20000"))
}

func TestLoadFailsOnABrokenAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		detail := httpapi.ErrorDetail(errkind.New(errkind.QueueFull, "full"))
		detail.Executed = "yes"
		w.Header().Set("X-Corkpulley-Executed", "no")
		httpapi.WriteJSON(w, http.StatusTooManyRequests, map[string]any{"error": detail})
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, output, problems := run("load", "--address", address, "--service", "s", "--rate", "100", "--seconds", "0.2", "--json")
	assert.Equal(t, code, ExitFailed, output)
	assert.Assert(t, strings.Contains(problems, "broke a promise"))
}
