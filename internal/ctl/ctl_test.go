package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/httpapi"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

var sampleRows = []policy.Row{
	{Service: "desk", Kind: policy.KindLive, Pool: "p", Model: "m", Share: 1, Staleness: -1, Cap: 5},
	{Service: "drafts", Kind: policy.KindTrainer, Pool: "q", Model: "m", Share: 1, Staleness: 2, Repeatable: true},
}

// fakeServer serves one node's operator interface.
type fakeServer struct {
	*httptest.Server
	mutex     sync.Mutex
	proposals []api.TableProposal
	// failures are returned for successive proposals before success; nil closes the connection after the proposal was
	// read.
	failures []error
	members  []api.NodeStatus
	drained  bool
}

func newFakeServer(t *testing.T, failures ...error) *fakeServer {
	server := &fakeServer{failures: failures, members: []api.NodeStatus{{ID: "one", TableRevision: 8}}}
	server.Server = httptest.NewServer(http.HandlerFunc(server.serve))
	t.Cleanup(server.Close)
	return server
}

func (f *fakeServer) serve(w http.ResponseWriter, r *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Method == http.MethodPost && r.URL.Path == operatorapi.PathTable {
		f.serveProposal(w, r)
		return
	}
	f.drained = f.drained || r.Method == http.MethodPost
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{
		operatorapi.PathTable:   api.TableDocument{Table: policy.Table{Revision: 7, Rows: sampleRows}},
		operatorapi.PathHistory: []api.HistoryEntry{{Revision: 7, Changes: []policy.RowChange{{After: &sampleRows[0]}}}},
		operatorapi.PathStatus:  api.Status{Node: f.members[0], Members: f.members},
		operatorapi.PathNodes:   f.members,
		operatorapi.PathEngines: []api.EngineStatus{{ID: "e", Models: map[string]uint64{"m": 3, "l": 2}}},
		operatorapi.PathSteps:   []api.StepStatus{{Trainer: "drafts", Step: "s-1", Wanted: 64}},
		operatorapi.PathDrain:   drainResult{State: "leaving"},
	}[r.URL.Path])
}

func (f *fakeServer) serveProposal(w http.ResponseWriter, r *http.Request) {
	var proposal api.TableProposal
	if err := json.NewDecoder(r.Body).Decode(&proposal); err != nil {
		panic(err)
	}
	f.proposals = append(f.proposals, proposal)
	if len(f.failures) == 0 {
		httpapi.WriteJSON(w, http.StatusOK, api.TableAccepted{Revision: 8})
		return
	}
	failure := f.failures[0]
	f.failures = f.failures[1:]
	if failure == nil {
		panic(http.ErrAbortHandler)
	}
	detail := httpapi.ErrorDetail(failure)
	detail.Conflicts = []policy.RowChange{{Service: "desk", After: &sampleRows[0]}}
	httpapi.WriteErrorDetail(w, errkind.KindOf(failure), detail)
}

type result struct {
	code        ExitCode
	out, errors string
}

func runCorkctl(input string, commandLine ...string) result {
	var out, errors bytes.Buffer
	streams := Streams{In: strings.NewReader(input), Out: &out, Err: &errors}
	code := Run(context.Background(), commandLine, streams)
	return result{code: code, out: out.String(), errors: errors.String()}
}

func TestCheckWorksOffline(t *testing.T) {
	csv := policy.FormatCSV(sampleRows)
	good := runCorkctl(csv, "table", "check", "-")
	assert.Equal(t, good.code, ExitOK, good.errors)

	file := filepath.Join(t.TempDir(), "table.csv")
	broken := strings.Replace(strings.Replace(csv, "trainer", "tutor", 1), ",5,", ",0,", 1)
	assert.NilError(t, os.WriteFile(file, []byte(broken), 0o600))
	bad := runCorkctl("", "table", "check", file)
	assert.Equal(t, bad.code, ExitInvalid)
	assert.Assert(t, strings.Contains(bad.out, file+":2: service desk: cap is \"0\", expected"), bad.out)
	assert.Assert(t, strings.Contains(bad.out, file+":3: service drafts: kind is \"tutor\", expected"), bad.out)

	var checked checkResult
	asJSON := runCorkctl(broken, "table", "check", "-", "--json")
	assert.Equal(t, asJSON.code, ExitInvalid)
	assert.NilError(t, json.Unmarshal([]byte(asJSON.out), &checked))
	assert.Equal(t, len(checked.Problems), 2)
	assert.Equal(t, runCorkctl("", "table", "check", file+".not").code, ExitUsage)
}

func TestDiffComparesWithShownTable(t *testing.T) {
	server := newFakeServer(t)
	shown := runCorkctl("", "--server", server.URL, "table", "show", "--csv")
	assert.Equal(t, shown.code, ExitOK, shown.errors)
	revision, found := policy.ParseRevisionComment(shown.out)
	assert.Assert(t, found && revision == 7)
	same := runCorkctl(shown.out, "table", "diff", "-", "--server", server.URL)
	assert.Equal(t, same.code, ExitOK, same.errors)
	assert.Equal(t, same.out, "")
	edited := strings.Replace(shown.out, ",5,", ",6,", 1)
	differs := runCorkctl(edited, "table", "diff", "-", "--server", server.URL)
	assert.Equal(t, differs.out, "~ desk: cap 5 -> 6\n")
}

func TestApplyRetriesUntilVerdict(t *testing.T) {
	server := newFakeServer(t, nil, errkind.New(errkind.OutcomeUnknown, "late"), errkind.New(errkind.LogUnavailable, "down"))
	csv := policy.FormatRevisionComment(7) + policy.FormatCSV(sampleRows)
	applied := runCorkctl(csv, "table", "apply", "-", "--wait", "--json", "--server", server.URL)
	assert.Equal(t, applied.code, ExitOK, applied.errors)
	assert.Equal(t, len(server.proposals), 4)
	for _, proposal := range server.proposals {
		assert.DeepEqual(t, proposal, server.proposals[0])
	}
	assert.Equal(t, server.proposals[0].BaseRevision, int64(7))
	var accepted applyResult
	assert.NilError(t, json.Unmarshal([]byte(applied.out), &accepted))
	assert.Equal(t, accepted.Revision, int64(8))
	assert.DeepEqual(t, accepted.InForce, &inForceResult{Nodes: 1, Known: 1, Lagging: []string{}})
}

func TestApplyBaseRevision(t *testing.T) {
	csv := policy.FormatCSV(sampleRows)
	for _, test := range []struct {
		csv       string
		arguments []string
		base      int64
	}{
		{csv: csv, base: 7}, // the revision in force
		{csv: policy.FormatRevisionComment(4) + csv, base: 4},
		{csv: policy.FormatRevisionComment(4) + csv, arguments: []string{"--base", "3"}, base: 3},
	} {
		server := newFakeServer(t)
		arguments := append([]string{"table", "apply", "-", "--server", server.URL}, test.arguments...)
		applied := runCorkctl(test.csv, arguments...)
		assert.Equal(t, applied.code, ExitOK, applied.errors)
		assert.Equal(t, server.proposals[0].BaseRevision, test.base)
	}
}

func TestApplyExitCodes(t *testing.T) {
	csv := policy.FormatRevisionComment(7) + policy.FormatCSV(sampleRows)
	const shortTimeout = "--timeout 2s" // for commands that never succeed
	closed := newFakeServer(t)
	closed.Close()
	lagging := newFakeServer(t)
	lagging.members = append(lagging.members, api.NodeStatus{ID: "slow", TableRevision: 7})
	repeat := func(err error) []error { return slices.Repeat([]error{err}, 100) }
	logDown := repeat(errkind.New(errkind.LogUnavailable, "no"))
	for name, test := range map[string]struct {
		server *fakeServer
		flags  string
		code   ExitCode
		stderr string
	}{
		"conflict": {
			server: newFakeServer(t, errkind.New(errkind.TableConflict, "revision 8 is in force")),
			code:   ExitConflict, stderr: "revision 8 is in force",
		},
		"invalid":       {server: newFakeServer(t, errkind.New(errkind.TableInvalid, "no")), code: ExitInvalid},
		"refused":       {server: newFakeServer(t, errkind.New(errkind.InvalidRequest, "no")), code: ExitFailed},
		"log down":      {server: newFakeServer(t, logDown...), flags: shortTimeout, code: ExitFailed},
		"lost response": {server: newFakeServer(t, repeat(nil)...), flags: shortTimeout, code: ExitUnknown, stderr: "--proposal-id"},
		"log down after a lost response": {
			server: newFakeServer(t, append([]error{nil}, logDown...)...), flags: shortTimeout, code: ExitUnknown,
		},
		"earlier attempt": {server: newFakeServer(t, logDown...), flags: shortTimeout + " --proposal-id x", code: ExitUnknown},
		"unreachable":     {server: closed, flags: shortTimeout, code: ExitUnreachable},
		"lagging":         {server: lagging, flags: shortTimeout + " --wait", code: ExitNotInForce, stderr: "lagging: slow"},
		"bad server":      {server: closed, flags: "--server ftp://x", code: ExitUsage},
		"bad flag":        {server: closed, flags: "--nonsense", code: ExitUsage},
		"bad timeout":     {server: closed, flags: "--timeout -1s", code: ExitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arguments := []string{"table", "apply", "-", "--server", test.server.URL}
			applied := runCorkctl(csv, append(arguments, strings.Fields(test.flags)...)...)
			assert.Equal(t, applied.code, test.code, applied.errors)
			assert.Assert(t, strings.Contains(applied.errors, test.stderr), applied.errors)
		})
	}
}

func TestCommandsFailOverToNextServer(t *testing.T) {
	closed, server := newFakeServer(t), newFakeServer(t)
	closed.Close()
	t.Setenv(serverVariable, closed.URL+", "+server.URL)
	for _, command := range [][]string{
		{"status"}, {"nodes"}, {"engines", "--all"}, {"steps"}, {"table", "show"}, {"table", "history"},
	} {
		printed := runCorkctl("", command...)
		assert.Equal(t, printed.code, ExitOK, printed.errors)
		assert.Assert(t, strings.Contains(printed.out, "\n"))
		asJSON := runCorkctl("", append(command, "--json")...)
		assert.Assert(t, json.Valid([]byte(asJSON.out)), asJSON.out)
	}
	// The flag replaces the environment variable.
	assert.Equal(t, runCorkctl("", "nodes", "--server", closed.URL).code, ExitUnreachable)
	// Drain does not fail over to another node.
	assert.Equal(t, runCorkctl("", "drain").code, ExitUsage)
	assert.Assert(t, !server.drained)
	assert.Equal(t, runCorkctl("", "drain", "--server", server.URL).code, ExitOK)
	assert.Assert(t, server.drained)
}

func TestEachCommandHasHelpWithExamples(t *testing.T) {
	for path := range examples {
		help := runCorkctl("", append(strings.Fields(path), "--help")...)
		assert.Equal(t, help.code, ExitOK)
		assert.Assert(t, strings.Contains(help.out, "Usage: corkctl"), help.out)
		assert.Assert(t, strings.Contains(help.out, examples[path][0]), help.out)
		assert.Assert(t, strings.Contains(help.out, "Exit codes:"))
	}
	assert.Equal(t, runCorkctl("", "table").code, ExitUsage)
	assert.Equal(t, runCorkctl("").code, ExitUsage)
}

func TestUnreachableServersAreListed(t *testing.T) {
	closed := newFakeServer(t)
	other := newFakeServer(t)
	closed.Close()
	other.Close()
	outcome := runCorkctl("", "status", "--server", closed.URL, "--server", other.URL)
	assert.Equal(t, outcome.code, ExitUnreachable)
	for _, server := range []string{closed.URL, other.URL} {
		assert.Equal(t, strings.Count(outcome.errors, server), 1, outcome.errors)
	}
}

func TestResponseOfAnotherServiceIsReported(t *testing.T) {
	other := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(other.Close)
	outcome := runCorkctl("", "status", "--server", other.URL)
	assert.Equal(t, outcome.code, ExitFailed)
	assert.Assert(t, strings.Contains(outcome.errors, other.URL+" answered 404 Not Found"), outcome.errors)
	assert.Assert(t, strings.Contains(outcome.errors, "operators' address"), outcome.errors)
}

// Guards against terminal escape sequences in an operator's name, which is free text.
func TestHistoryEscapesControlCharacters(t *testing.T) {
	var output bytes.Buffer
	printHistory(&output, []api.HistoryEntry{{Revision: 7, Operator: "a\x1b[2J\nb\tc"}})
	assert.Equal(t, strings.Count(output.String(), "\n"), 2, output.String())
	assert.Assert(t, strings.Contains(output.String(), `a\x1b[2J\nb\tc`), output.String())
}

func TestOperatorDefaultsToSystemUser(t *testing.T) {
	t.Setenv("USER", "")
	server := newFakeServer(t)
	outcome := runCorkctl(policy.FormatCSV(sampleRows), "table", "apply", "-", "--server", server.URL)
	assert.Equal(t, outcome.code, ExitOK, outcome.errors)
	assert.Assert(t, server.proposals[0].Operator != "")
}
