package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const moveLogs = `
{"level":"info","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1","waited_ms":15,"fast":false,"long":true,"time":5120,"message":"item started"}
{"level":"warn","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1","refusal":"broken","stop_reason":"moved","move_reason":"fast_engine","move_to":"e2","gain_ms":2400,"after_event":12,"ran_ms":700,"time":5820,"message":"run ended early"}
{"level":"warn","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e2","refusal":"broken","stop_reason":"moved","move_reason":"draining_engine","after_event":20,"ran_ms":200,"time":6020,"message":"run ended early"}
{"level":"warn","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e3","refusal":"broken","stop_reason":"moved","move_reason":"slow_engine","after_event":30,"ran_ms":210,"time":6230,"message":"run ended early"}
{"level":"warn","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e4","refusal":"broken","stop_reason":"moved","after_event":40,"ran_ms":220,"time":6450,"message":"run ended early"}
`

// Guards against an item that yielded its engine without a reason that operators can see.
func TestCauseNamesReasonOfEachMove(t *testing.T) {
	log := &Log{}
	assert.NilError(t, log.Read(strings.NewReader(moveLogs)))
	trace, err := log.Find("i1")
	assert.NilError(t, err)
	for _, part := range []string{
		"e1 after 700 ms at event 12 (moved to the fast engine e2, expected to end 2400 ms sooner there)",
		"e2 after 200 ms at event 20 (moved, its engine drains)",
		"e3 after 210 ms at event 30 (moved, its engine was slower than others with free slots)",
		"e4 after 220 ms at event 40 (moved to a faster engine)",
	} {
		assert.Assert(t, strings.Contains(trace.Cause, part), "%q lacks %q", trace.Cause, part)
	}
}
