package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const orderLogs = `
{"level":"info","node":"n2","zone":"z","job":"t/j1","time":6010,"message":"job accepted by its runner"}
{"level":"info","node":"n2","zone":"z","job":"t/j1","ahead":"t/j2","slack_ms":4000,"needed_ms":900,"behind_ms":0,"share_ms":1200,"time":6200,"message":"items wait for a job that was accepted later"}
{"level":"info","node":"n2","zone":"z","job":"t/j1","item":"i1","engine":"e1","waited_ms":990,"surplus":true,"time":7000,"message":"item started"}
{"level":"info","node":"n2","zone":"z","job":"t/j1","item":"i2","engine":"e1","waited_ms":790,"time":6800,"message":"item started"}
{"level":"info","node":"n2","zone":"z","job":"t/j1","reason":"waiting items need longer","slack_ms":-200,"needed_ms":2000,"time":7500,"message":"job cannot be complete in time"}
`

// Guards against an item that waited or yielded without the decision being named.
func TestCauseNamesTheDecisionOfTheJobOrder(t *testing.T) {
	log := &Log{}
	assert.NilError(t, log.Read(strings.NewReader(orderLogs)))
	outranked := "Items of job t/j1 waited while those of t/j2, which was accepted later, started (slack 4000 ms, " +
		"its longest items need 900 ms, submitter behind by 0 ms, share correction 1200 ms)"
	late := "Job t/j1 could not be complete in time: waiting items need longer (slack -200 ms"
	yielded := "It yielded to other items, since its submitter did not wait for its group"
	for id, wanted := range map[string][]string{"i1": {outranked, late, yielded}, "i2": {outranked, late}, "j1": {outranked, late}} {
		trace, err := log.Find(id)
		assert.NilError(t, err)
		for _, part := range wanted {
			assert.Assert(t, strings.Contains(trace.Cause, part), "%s: %q lacks %q", id, trace.Cause, part)
		}
		assert.Equal(t, strings.Contains(trace.Cause, yielded), id == "i1", trace.Cause)
	}
}
