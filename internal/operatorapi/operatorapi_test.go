package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/message"
	"github.com/corkpulley/corkpulley/internal/tables"
)

// fakeSystem implements the dependencies of the handlers.
type fakeSystem struct {
	cluster.View // nil: satisfies the interface for methods that the handlers do not call
	proposeErr   error
	notReady     error
	notCurrent   error
	stepsErr     error
	drained      int
	allEngines   bool
}

var sampleTable = policy.Table{Revision: 4, Rows: []policy.Row{
	{Service: "desk", Kind: policy.KindLive, Pool: "p", Model: "m", Share: 1, Staleness: -1},
}}

func (f *fakeSystem) Table() *policy.Table { return &sampleTable }

func (f *fakeSystem) CheckCurrent() error { return f.notCurrent }

func (f *fakeSystem) TableAt(revision int64) (*policy.Table, bool) {
	return &policy.Table{Revision: revision}, revision == 2
}

func (f *fakeSystem) History(limit int) []api.HistoryEntry {
	return make([]api.HistoryEntry, min(limit, 30))
}

func (f *fakeSystem) Propose(_ context.Context, proposal api.TableProposal) (api.TableAccepted, error) {
	return api.TableAccepted{Revision: proposal.BaseRevision + 1}, f.proposeErr
}

func (f *fakeSystem) Self() cluster.Member {
	return cluster.Member{ID: "one", Zone: "z", TableRevision: 3}
}

func (f *fakeSystem) Members() []cluster.Member {
	owned := []cluster.Ownership{{Stream: "steps/drafts", Epoch: 7}}
	return []cluster.Member{f.Self(), {ID: "two", State: cluster.StateAlive, TableRevision: 2, Owned: owned}}
}

func (f *fakeSystem) Cells() []message.CellDigest {
	return []message.CellDigest{{Cell: message.CellID{Zone: "z", Pool: "p"}, Node: "two", Engines: 3, Queued: 1}}
}

func (f *fakeSystem) handler() http.Handler {
	router := mux.NewRouter()
	New(Options{
		Tables:         f,
		View:           f,
		Ready:          func() error { return f.notReady },
		LastLogContact: time.Now,
		Engines: func(_ context.Context, all bool) ([]api.EngineStatus, error) {
			f.allEngines = all
			return nil, nil
		},
		Steps:  func(context.Context) ([]api.StepStatus, error) { return nil, f.stepsErr },
		Drain:  func() { f.drained++ },
		Logger: zerolog.Nop(),
	}).Register(router)
	return router
}

// do sends one request, decodes the response body and returns the status code.
func (f *fakeSystem) do(t *testing.T, method, target, body string, into any) int {
	t.Helper()
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	f.handler().ServeHTTP(recorder, request)
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), into), recorder.Body.String())
	return recorder.Code
}

func TestStatusAnswersWhenSourcesFail(t *testing.T) {
	system := &fakeSystem{
		notReady: errkind.New(errkind.NotCurrent, "no contact with the log"),
		stepsErr: errors.New("owner unreachable"),
	}
	var status api.Status
	assert.Equal(t, system.do(t, http.MethodGet, PathStatus, "", &status), http.StatusOK)
	assert.Equal(t, status.Ready, false)
	assert.Equal(t, status.NotReadyCause, "not_current: no contact with the log")
	assert.Equal(t, status.Node.TableRevision, int64(4))
	assert.Equal(t, status.LogReachable, true)
	assert.Equal(t, status.Cells[0].Queued, 1)
	assert.DeepEqual(t, status.Members[1].Owned, []api.OwnedStream{{Stream: "steps/drafts", Epoch: 7}})
	assert.Equal(t, status.Members[0].TableRevision, int64(4))
	assert.Equal(t, status.Members[1].TableRevision, int64(2))

	var state stateBody
	var failure api.ErrorBody
	assert.Equal(t, system.do(t, http.MethodGet, PathHealth, "", &state), http.StatusOK)
	assert.Equal(t, system.do(t, http.MethodGet, PathReady, "", &failure), http.StatusServiceUnavailable)
	assert.Equal(t, failure.Error.Executed, "no")
	assert.Equal(t, system.do(t, http.MethodGet, PathSteps, "", &failure), http.StatusInternalServerError)
	system.notReady = nil
	assert.Equal(t, system.do(t, http.MethodGet, PathReady, "", &state), http.StatusOK)
}

// Guards against a restarted node that reports a lower revision, from an old
// snapshot, than it did before.
func TestNoRevisionReportedBeforeCatchUp(t *testing.T) {
	notReadyError := errkind.New(errkind.NotReady, "not caught up")
	system := &fakeSystem{notReady: notReadyError, notCurrent: notReadyError}
	for _, target := range []string{PathTable, PathTable + "?revision=2", PathTable + "?revision=3", PathHistory} {
		var failure api.ErrorBody
		assert.Equal(t, system.do(t, http.MethodGet, target, "", &failure), http.StatusServiceUnavailable, target)
		assert.Equal(t, failure.Error.Code, "not_ready")
	}
	var status map[string]any
	assert.Equal(t, system.do(t, http.MethodGet, PathStatus, "", &status), http.StatusOK)
	assert.Equal(t, status["ready"], false)
	assert.Equal(t, status["not_ready_cause"], "not_ready: not caught up")
	_, found := status["table_revision"]
	assert.Assert(t, !found, "the status reports revision %v", status["table_revision"])
	var typed api.Status
	assert.Equal(t, system.do(t, http.MethodGet, PathStatus, "", &typed), http.StatusOK)
	assert.Equal(t, typed.Node.TableRevision, int64(0))
	var nodes []api.NodeStatus
	assert.Equal(t, system.do(t, http.MethodGet, PathNodes, "", &nodes), http.StatusOK)
	for _, members := range [][]api.NodeStatus{typed.Members, nodes} {
		assert.Equal(t, members[0].TableRevision, int64(0))
		assert.Equal(t, members[1].TableRevision, int64(2), "the revision announced by another node is kept")
	}

	// A node that caught up once keeps serving its table without contact to the log.
	system.notCurrent = errkind.New(errkind.NotCurrent, "no contact with the log")
	var document api.TableDocument
	assert.Equal(t, system.do(t, http.MethodGet, PathTable, "", &document), http.StatusOK)
	assert.Equal(t, document.Revision, int64(4))
}

func TestListsAreNeverNull(t *testing.T) {
	system := &fakeSystem{}
	for _, target := range []string{PathNodes, PathEngines + "?scope=all", PathSteps, PathHistory} {
		var list []json.RawMessage
		assert.Equal(t, system.do(t, http.MethodGet, target, "", &list), http.StatusOK)
		assert.Assert(t, list != nil, target)
	}
	assert.Assert(t, system.allEngines)
}

func TestTableByRevision(t *testing.T) {
	system := &fakeSystem{}
	var document api.TableDocument
	assert.Equal(t, system.do(t, http.MethodGet, PathTable, "", &document), http.StatusOK)
	rows, problems := policy.ParseCSV(document.CSV)
	assert.Equal(t, len(problems), 0)
	assert.DeepEqual(t, rows, sampleTable.Rows)
	assert.DeepEqual(t, document.Rows, sampleTable.Rows)
	assert.Equal(t, system.do(t, http.MethodGet, PathTable+"?revision=2", "", &document), http.StatusOK)
	assert.Equal(t, document.Revision, int64(2))
	var history []api.HistoryEntry
	assert.Equal(t, system.do(t, http.MethodGet, PathHistory+"?limit=3", "", &history), http.StatusOK)
	assert.Equal(t, len(history), 3)
}

func TestInvalidRequestErrorKinds(t *testing.T) {
	for _, test := range []struct {
		method, target, body string
		kind                 errkind.Kind
	}{
		{http.MethodGet, PathTable + "?revision=x", "", errkind.InvalidRequest},
		{http.MethodGet, PathTable + "?revision=-1", "", errkind.InvalidRequest},
		{http.MethodGet, PathTable + "?revision=3", "", errkind.NotFound},
		{http.MethodGet, PathHistory + "?limit=0", "", errkind.InvalidRequest},
		{http.MethodGet, PathEngines + "?scope=some", "", errkind.InvalidRequest},
		{http.MethodPost, PathTable, "", errkind.InvalidRequest},
		{http.MethodPost, PathTable, `{"proposal":1}`, errkind.InvalidRequest},
		{http.MethodPost, PathTable, `{"csv":"` + strings.Repeat("x", maxTableBytes) + `"}`, errkind.PayloadTooLarge},
	} {
		t.Run(test.method+" "+test.target, func(t *testing.T) {
			var failure api.ErrorBody
			status := (&fakeSystem{}).do(t, test.method, test.target, test.body, &failure)
			assert.Equal(t, status, test.kind.Response().Status)
			assert.Equal(t, failure.Error.Code, test.kind.String())
		})
	}
}

func TestProposalErrorsListConflictsAndProblems(t *testing.T) {
	system := &fakeSystem{proposeErr: &tables.ProposalError{
		Err:       errkind.New(errkind.TableConflict, "revision 5 is in force"),
		Conflicts: []policy.RowChange{{Service: "desk", Columns: []string{"cap"}}},
		Problems:  []policy.Problem{{Line: 2, Expected: "a number"}},
	}}
	var failure api.ErrorBody
	assert.Equal(t, system.do(t, http.MethodPost, PathTable, `{"base_revision":4}`, &failure), http.StatusConflict)
	assert.Equal(t, failure.Error.Code, "table_conflict")
	assert.Equal(t, failure.Error.Conflicts[0].Service, "desk")
	assert.Equal(t, failure.Error.Problems[0].Line, 2)

	system.proposeErr = nil
	var accepted api.TableAccepted
	assert.Equal(t, system.do(t, http.MethodPost, PathTable, `{"base_revision":4}`, &accepted), http.StatusOK)
	assert.Equal(t, accepted.Revision, int64(5))
}

func TestDrainStartsShutdown(t *testing.T) {
	system := &fakeSystem{}
	var state stateBody
	assert.Equal(t, system.do(t, http.MethodPost, PathDrain, "", &state), http.StatusAccepted)
	assert.Equal(t, state.State, "leaving")
	assert.Equal(t, system.drained, 1)
}
