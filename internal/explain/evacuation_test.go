package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const evacuationLogs = `
{"level":"info","node":"n1","zone":"z","engine_zone":"za","offset":7,"engines":4,"in_flight":1,"time":5000,"message":"zone evacuated"}
{"level":"warn","node":"n1","zone":"z","id":"r1","engine":"e1","verdict":"try_next","took_ms":300,"error":"the permission to send ended","held_back":"evacuated","time":5100,"message":"engine tried"}
{"level":"warn","node":"n1","zone":"z","id":"r1","kind":"no_capacity","error":"no engine of s takes requests, 4 are in evacuated zones","status":503,"time":5110,"message":"request refused"}
{"level":"info","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1","waited_ms":15,"time":5120,"message":"item started"}
{"level":"warn","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1","refusal":"held_back","held_back":"evacuated","after_event":0,"ran_ms":300,"time":5420,"message":"run ended early"}
{"level":"warn","node":"n1","zone":"z","service":"s","items":1,"evacuated":4,"time":5430,"message":"items wait: no usable engine outside evacuated zones"}
`

// Guards against a refused request or a waiting item whose cause omits the evacuation.
func TestCauseNamesEvacuatedZone(t *testing.T) {
	log := &Log{}
	assert.NilError(t, log.Read(strings.NewReader(evacuationLogs)))
	for id, wanted := range map[string][]string{
		"r1": {"4 are in evacuated zones", "e1 after 300 ms (held back before it was sent: evacuated)", "zone za was evacuated"},
		"i1": {"e1 after 300 ms at event 0 (held back before it was sent: evacuated)", "no engine of s was left outside evacuated zones"},
	} {
		trace, err := log.Find(id)
		assert.NilError(t, err)
		for _, part := range wanted {
			assert.Assert(t, strings.Contains(trace.Cause, part), "%s: %q lacks %q", id, trace.Cause, part)
		}
	}
}
