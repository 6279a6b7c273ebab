package engine

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestHistoryFileSurvivesProcessKill(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e1.history")
	first, err := openHistoryFile(path, "e1", "a")
	assert.NilError(t, err)
	first.write(&historyEvent{Request: 0, Started: &RequestHistory{RequestID: "r1", Outcome: OutcomeRunning}})
	first.write(&historyEvent{Request: 0, Generated: &Span{Version: 3, From: 0, To: 1}})
	first.write(&historyEvent{Request: 0, Generated: &Span{Version: 3, From: 1, To: 2}})
	first.write(&historyEvent{Request: 0, Generated: &Span{Version: 4, From: 2, To: 3}})
	// Not closed, as after SIGKILL.
	second, err := openHistoryFile(path, "e1", "b")
	assert.NilError(t, err)
	second.write(&historyEvent{Request: 0, Started: &RequestHistory{RequestID: "r2", Outcome: OutcomeRunning}})
	second.write(&historyEvent{Request: 0, Ended: &requestEnd{UnixNS: 7, Outcome: "stop"}})
	_, err = second.file.WriteString(`{"request":1,"sta`)
	assert.NilError(t, err)

	histories, err := ReadHistoryFile(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, histories, []History{
		{ID: "e1", Incarnation: "a", Requests: []RequestHistory{
			{RequestID: "r1", Outcome: OutcomeRunning, Spans: []Span{{Version: 3, From: 0, To: 2}, {Version: 4, From: 2, To: 3}}},
		}},
		{ID: "e1", Incarnation: "b", Requests: []RequestHistory{{RequestID: "r2", Outcome: "stop", EndedUnixNS: 7}}},
	})
	second.close()
	second.write(&historyEvent{Request: 1})
	assert.ErrorContains(t, <-second.failure(), "write history file")
}

func TestReadHistoryFileRejectsInvalidLines(t *testing.T) {
	const begun = `{"id":"e1","incarnation":"a","request":0,"begun":true}` + "\n"
	for want, text := range map[string]string{
		"decode event":         "no JSON\n",
		"before the process":   `{"request":0,"started":{}}` + "\n",
		"which did not start":  begun + `{"request":0,"made":{}}` + "\n",
		"started after 0":      begun + `{"request":1,"started":{}}` + "\n",
		"event has no content": begun + `{"request":0,"started":{}}` + "\n" + `{"request":0}` + "\n",
		"unknown field \"x\"":  `{"x":1}` + "\n",
		"no such file or dire": "",
	} {
		path := filepath.Join(t.TempDir(), "history")
		if text != "" {
			assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		}
		_, err := ReadHistoryFile(path)
		assert.ErrorContains(t, err, want)
	}
}
