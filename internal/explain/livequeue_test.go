package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const queueLogs = `
{"level":"info","node":"n1","zone":"z","id":"r1","service":"s","tenant":"a","priority":5,"decision":"waited","reason":"none","waited_ms":42.5,"expected_ms":50,"response_ms":25,"remaining_ms":790,"ahead":3,"waiting":9,"slots":4,"occupied":6,"own":4,"time":5000,"message":"live request waited for a slot"}
{"level":"info","node":"n1","zone":"z","id":"r1","status":200,"took_ms":70,"caller_left":false,"time":5030,"message":"request ended"}
{"level":"warn","node":"n1","zone":"z","id":"r2","service":"s","tenant":"a","priority":5,"decision":"hopeless","reason":"hopeless","waited_ms":0,"expected_ms":900,"response_ms":25,"remaining_ms":800,"ahead":99,"waiting":99,"slots":4,"occupied":6,"own":4,"time":5000,"message":"live request refused by the queue"}
{"level":"warn","node":"n1","zone":"z","id":"r2","kind":"no_capacity","error":"the engines of s are full","status":503,"time":5001,"message":"request refused"}
{"level":"warn","node":"n1","zone":"z","id":"r3","decision":"refused","reason":"timed_out","waited_ms":200,"time":5000,"message":"live request refused by the queue"}
{"level":"warn","node":"n1","zone":"z","id":"r4","decision":"evicted","reason":"evicted","waited_ms":20,"time":5000,"message":"live request refused by the queue"}
`

// Guards against a request that waited or was refused by the queue whose cause does not name the decision.
func TestCauseNamesTheDecisionOfTheQueue(t *testing.T) {
	log := &Log{}
	assert.NilError(t, log.Read(strings.NewReader(queueLogs)))
	for id, wanted := range map[string][]string{
		"r1": {"Ended at n1 with status 200", "Waited 42 ms at n1", "3 requests ahead of it", "6 requests known at 4 slots", "sent after the wait"},
		"r2": {"Refused by n1 with 503", "slot expected in 900 ms, response 25 ms, 800 ms left", "its response was not expected in time"},
		"r3": {"Waited 200 ms", "refused after the longest wait"},
		"r4": {"refused for another tenant while the queue was full"},
	} {
		trace, err := log.Find(id)
		assert.NilError(t, err)
		for _, part := range wanted {
			assert.Assert(t, strings.Contains(trace.Cause, part), "%s: %q lacks %q", id, trace.Cause, part)
		}
	}
}
