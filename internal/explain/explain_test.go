package explain

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `
  17.8 edge-3 {"level":"info","node":"n3","zone":"z","time":1000,"message":"node started"}
  17.9 edge-3 {"level":"info","node":"n3","zone":"z","topic":"keyed","error":"status 503","reachable":false,"time":1200,"message":"topic reachability changed"}
{"level":"info","node":"n3","zone":"z","id":"r1","kind":"not_ready","error":"no configuration is known yet","status":503,"time":1300,"message":"request refused"}
{"level":"info","node":"n1","zone":"z","id":"r2","engine":"e1","verdict":"try_next","took_ms":300.5,"error":"context deadline exceeded","time":5300,"message":"engine tried"}
{"level":"info","node":"n1","zone":"z","id":"r2","status":200,"took_ms":340,"caller_left":false,"time":5340,"message":"request ended"}
{"level":"warn","node":"n1","zone":"z","id":"r5","status":200,"complete":false,"took_ms":80,"caller_left":false,"time":5400,"message":"request ended"}
{"level":"info","node":"n1","zone":"z","job":"j1","error":"","time":6000,"message":"job submitted"}
{"level":"info","node":"n2","zone":"z","job":"j1","time":6010,"message":"job accepted by its runner"}
{"level":"info","node":"n2","zone":"z","job":"j1","item":"i1","engine":"e1","waited_ms":15,"time":6015,"message":"item started"}
{"level":"info","node":"n2","zone":"z","job":"j1","item":"i1","engine":"e1","refusal":"broken","stop_reason":"silent","after_event":7,"ran_ms":1300,"time":7315,"message":"run ended early"}
{"level":"info","node":"n2","zone":"z","job":"j1","item":"i1","engine":"e2","waited_ms":1315,"time":7316,"message":"item started"}
{"level":"info","node":"n2","zone":"z","job":"j1","item":"i1","completed":true,"reason":"whole","events":20,"after_ms":2500,"time":8500,"message":"item finished"}
{"level":"info","node":"n2","zone":"z","job":"j1","item":"i2","engine":"e1","waited_ms":15,"time":6020,"message":"item started"}
{"level":"warn","node":"n2","zone":"z","job":"j1","item":"i2","reason":"version_gone","events":40,"versions":[3],"idle_ms":12,"time":8550,"message":"item output dropped"}
{"level":"info","node":"n2","zone":"z","job":"j1","after_ms":2600,"unfinished":1,"time":8600,"message":"job ended"}
{"level":"info","node":"n2","zone":"z","job":"tenant-a/j2","error":"the log did not answer","time":9000,"message":"job submitted"}
{"level":"warn","node":"n4","zone":"z","id":"r4","kind":"unauthorized","error":"the API key is unknown or was taken away","status":401,"time":9100,"message":"request refused"}
{"level":"info","node":"n2","zone":"z","window":356294935,"requests":33,"tenants":23,"answer":"done","in_time":true,"fence":7,"time":9200,"message":"usage report attempted"}
{"level":"warn","node":"n2","zone":"z","window":356294935,"source":"n5-abc","requests":2,"time":9300,"message":"usage counts arrived after their report was decided"}
{"level":"warn","node":"n2","zone":"z","window":356294936,"error":"status 503","time":9400,"message":"usage not reported yet"}
{"level":"info","node":"n2","zone":"z","service":"drafts","zone_ordered":"z1","count":9,"present":4,"items":70,"answer":"conflict","fence":7,"time":9500,"message":"engines ordered"}
{"level":"info","node":"n2","zone":"z","time":1,"message
a line of somebody else
`

func readLogs(t *testing.T) *Log {
	t.Helper()
	log := &Log{}
	assert.NilError(t, log.Read(strings.NewReader(logs)))
	return log
}

func TestReadCountsMalformedLinesAndIgnoresOtherText(t *testing.T) {
	log := readLogs(t)
	assert.Equal(t, log.Malformed, 1)
	assert.Equal(t, len(log.Lines), 21)
}

func TestFindDescribesTheCause(t *testing.T) {
	log := readLogs(t)
	for id, wanted := range map[string][]string{
		"r1": {"Refused by n3 with 503", "no configuration", "n3 had just started", "the log was unreachable from n3"},
		"r2": {"Ended at n1 with status 200", "e1 after 300 ms (context deadline exceeded)"},
		"r5": {"Ended at n1 with status 200 after 80 ms, the answer was cut off."},
		"j1": {"Ended by its submitter after 2600 ms with 1 items unfinished, accepted 1 times"},
		"i1": {"Started 2 times", "e1 after 1300 ms at event 7 (silent)", "finished by n2 after 2500 ms (whole, 20 events)",
			"Its job j1 was ended by its submitter after 2600 ms with 1 items unfinished"},
		"i2": {"started over without its 40 events (no engine had their weight version any more)"},
		"j2": {"Not accepted by n2: the log did not answer"},
		"r4": {"Refused by n4 with 401 unauthorized: the API key is unknown or was taken away"},
		"356294935": {"Reported 1 times, last by n2 under fencing token 7 with 33 requests of 23 tenants: done, in time",
			"Counts from n5-abc with 2 requests arrived after the window was closed"},
		"356294936": {"Not reported; the last attempt, by n2, failed: status 503"},
		"drafts":    {"9 in z1 with 4 present, for 70 items (conflict by n2)"},
	} {
		trace, err := log.Find(id)
		assert.NilError(t, err)
		for _, part := range wanted {
			assert.Assert(t, strings.Contains(trace.Cause, part), "%s: %q lacks %q", id, trace.Cause, part)
		}
	}
}

func TestFindReturnsLinesOfItemAndJobInOrder(t *testing.T) {
	trace, err := readLogs(t).Find("i1")
	assert.NilError(t, err)
	assert.Equal(t, trace.Lines[0].Message, "job submitted")
	assert.Equal(t, trace.Lines[len(trace.Lines)-1].Message, "job ended")
	assert.Equal(t, len(trace.Lines), 7)
}

func TestFindOfUnknownIDReturnsError(t *testing.T) {
	_, err := readLogs(t).Find("nobody")
	assert.Assert(t, errors.Is(err, ErrUnknown))
}

func TestCauseNamesHomeRegionsOfUnacceptedJob(t *testing.T) {
	for homes, wanted := range map[string]string{
		"north,west": "no node in north,west, the only regions that may run it", "everywhere": "no leader accepted it",
	} {
		line := `{"level":"info","node":"n1","zone":"z","job":"j1","homes":"` + homes + `","time":1,"message":"job submitted"}`
		log := &Log{}
		assert.NilError(t, log.Read(strings.NewReader(line+"\n")))
		trace, err := log.Find("j1")
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(trace.Cause, wanted), trace.Cause)
	}
}

// Guards against a cause that omits the restart when only another node logged it, or names an unrelated engine.
func TestCauseNamesRestartedEngine(t *testing.T) {
	log := &Log{}
	assert.NilError(t, log.Read(strings.NewReader(`
{"level":"info","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1@1000","waited_ms":15,"time":6015,"message":"item started"}
{"level":"info","node":"n2","zone":"z","engine":"e1@2000","ended":"e1@1000","time":6100,"message":"engine restarted"}
{"level":"info","node":"n2","zone":"z","engine":"e2@2000","ended":"e2@1000","time":6100,"message":"engine restarted"}
{"level":"info","node":"n1","zone":"z","job":"j1","item":"i1","engine":"e1@1000","refusal":"broken","stop_reason":"engine_ended","after_event":7,"ran_ms":90,"time":6105,"message":"run ended early"}
`)))
	trace, err := log.Find("i1")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(trace.Cause, "at event 7 (its engine restarted)"), trace.Cause)
	assert.Assert(t, strings.Contains(trace.Cause, "engine e1@1000 restarted"), trace.Cause)
	assert.Assert(t, !strings.Contains(trace.Cause, "e2"), trace.Cause)
}
