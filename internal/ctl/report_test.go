package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const reportLines = `  0.1000 n1 {"level":"info","node":"n1","zone":"z","time":1000,"message":"node started"}
  9.1000 n1 {"level":"info","node":"n1","zone":"z","status":200,"time":10000,"message":"request ended"}
torn {"level"
`

// runReport runs the command with the lines as standard input.
func runReport(input string, commandLine ...string) (code ExitCode, stdout, stderr string) {
	var out, errs bytes.Buffer
	streams := Streams{In: strings.NewReader(input), Out: &out, Err: &errs}
	code = Run(context.Background(), append([]string{"report"}, commandLine...), streams)
	return code, out.String(), errs.String()
}

// Guards against a report that needs a server, and against unreadable lines that are not mentioned.
func TestReportWritesItsFilesFromStandardInput(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "hour")
	code, stdout, stderr := runReport(reportLines, "--out", directory, "-")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(stdout, "1 nodes, 3 lines, 1 gaps without progress, the longest 9.000 s"), stdout)
	assert.Assert(t, strings.Contains(stderr, "1 of 3 lines are unreadable"), stderr)
	for _, name := range []string{"report.html", "jobs.png", "requests.png", "nodes.png"} {
		_, err := os.Stat(filepath.Join(directory, name))
		assert.NilError(t, err)
	}
}

// Guards against invalid JSON output.
func TestReportPrintsItsTotalsAsJSON(t *testing.T) {
	code, stdout, _ := runReport(reportLines, "--json", "--out", t.TempDir(), "-")
	assert.Equal(t, code, ExitOK)
	var result reportResult
	assert.NilError(t, json.Unmarshal([]byte(stdout), &result))
	assert.Equal(t, result.Totals.Requests["answered"], 1)
	assert.Equal(t, result.Totals.Lines.Unreadable, 1)
	assert.Equal(t, len(result.Files), 8)
}

// Guards against a wrong exit code, and against an error without the file or flag that caused it.
func TestReportInputErrors(t *testing.T) {
	directory := t.TempDir()
	missing := filepath.Join(directory, "missing.log")
	for _, wrong := range []struct {
		commandLine []string
		code        ExitCode
		text        string
	}{
		{[]string{missing}, ExitUsage, missing},
		{[]string{directory}, ExitUsage, directory},
		{[]string{"-"}, ExitFailed, "no log line of a node in -"},
		{[]string{"--from", "yesterday", "-"}, ExitUsage, "--from"},
		{[]string{"--from", "2026-11-30T06:00:00Z", "--until", "2026-11-30T05:00:00Z", "-"}, ExitUsage, "not before"},
		{[]string{"--gap", "0s", "-"}, ExitUsage, "--gap"},
		{[]string{}, ExitUsage, "required"},
	} {
		out := filepath.Join(directory, "out")
		code, _, stderr := runReport("no line of a node\n", append([]string{"--out", out}, wrong.commandLine...)...)
		assert.Equal(t, code, wrong.code, "%v: %s", wrong.commandLine, stderr)
		assert.Assert(t, strings.Contains(stderr, wrong.text), "%v: %s", wrong.commandLine, stderr)
		_, err := os.Stat(out)
		assert.Assert(t, os.IsNotExist(err), "%v wrote files", wrong.commandLine)
	}
}
