package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const waitLogs = `
{"level":"info","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1","waited_ms":15,"idle_ms":15,"wait_reason":"none","time":5120,"message":"item started"}
{"level":"warn","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1","refusal":"broken","after_event":12,"ran_ms":700,"time":5820,"message":"run ended early"}
{"level":"info","node":"n1","zone":"z","job":"j1","item":"i1","wait_reason":"no_memory","idle_ms":2100,"reason_ms":2040,"slots":48,"free_slots":40,"time":7920,"message":"item waits for an engine"}
{"level":"info","node":"n1","zone":"z","job":"j1","item":"i2","wait_reason":"no_version","idle_ms":2100,"reason_ms":2040,"slots":48,"free_slots":48,"time":7920,"message":"item waits for an engine"}
`

// Guards against an item that waits for a reason that operators cannot see.
func TestCauseNamesReasonOfWait(t *testing.T) {
	log := &Log{}
	assert.NilError(t, log.Read(strings.NewReader(waitLogs)))
	for id, part := range map[string]string{
		"i1": "without an engine for 2100 ms, 40 of 48 slots free (no engine with a free slot had the memory for it)",
		"i2": "Started 0 times; without an engine for 2100 ms, 48 of 48 slots free (no usable engine had a weight version",
	} {
		trace, err := log.Find(id)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(trace.Cause, part), "%q lacks %q", trace.Cause, part)
	}
}
