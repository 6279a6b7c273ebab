package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// olderMessages holds the messages that this package reads, with those that older builds logged in their place.
var olderMessages = map[string]string{
	"weight version published":                             "version named",
	"engine removed":                                       "engine gone",
	"topic reachability changed":                           "topic contact changed",
	"switched between direct and relayed log calls":        "way to the log changed",
	"index partition unreachable":                          "index partition out of reach",
	"index partition reachable":                            "index partition in reach",
	"weight load ended":                                    "weights ordered",
	"failed to record results":                             "results not recorded",
	"zone evacuation ended":                                "zone taken back",
	"items wait: no usable engine outside evacuated zones": "items wait for evacuated zones",
	"sending resumed after a suspension":                   "sending on after a standstill",
	"engine restarted":                                     "engine started again",
	"job submitted":                                        "job handed in",
	"job accepted by its runner":                           "job taken up",
	"usage report attempted":                               "use reported",
	"usage not reported yet":                               "use not reported yet",
	"usage counts arrived after their report was decided":  "counts of use came too late",
}

// contextLogs holds state changes that happen during the requests and jobs in the constant logs.
const contextLogs = `
{"level":"info","node":"n1","zone":"z","model":"m","version":2,"time":5301,"message":"weight version published"}
{"level":"info","node":"n1","zone":"z","engine":"e9","time":5302,"message":"engine removed"}
{"level":"info","node":"n1","zone":"z","direct":false,"time":5303,"message":"switched between direct and relayed log calls"}
{"level":"info","node":"n1","zone":"z","partition":1,"time":5304,"message":"index partition unreachable"}
{"level":"info","node":"n2","zone":"z","partition":1,"time":6301,"message":"index partition reachable"}
{"level":"info","node":"n2","zone":"z","engine":"e1","done":true,"time":6302,"message":"weight load ended"}
{"level":"warn","node":"n2","zone":"z","partition":1,"items":1,"time":6303,"message":"failed to record results"}
{"level":"info","node":"n2","zone":"z","engine_zone":"za","time":6304,"message":"zone evacuation ended"}
{"level":"warn","node":"n2","zone":"z","service":"s","time":6305,"message":"items wait: no usable engine outside evacuated zones"}
{"level":"info","node":"n2","zone":"z","age_ms":10,"time":6306,"message":"sending resumed after a suspension"}
{"level":"info","node":"n2","zone":"z","engine":"e1@2000","ended":"e1@1000","time":6307,"message":"engine restarted"}
`

// Guards against a trace that lacks the lines of nodes which still run an older build.
func TestOlderMessagesGiveTheSameTrace(t *testing.T) {
	present := logs + contextLogs
	older := present
	for message, olderMessage := range olderMessages {
		inLine := `"message":"` + message + `"`
		assert.Assert(t, strings.Contains(present, inLine), message)
		older = strings.ReplaceAll(older, inLine, `"message":"`+olderMessage+`"`)
	}
	presentLog, olderLog := &Log{}, &Log{}
	assert.NilError(t, presentLog.Read(strings.NewReader(present)))
	assert.NilError(t, olderLog.Read(strings.NewReader(older)))
	for _, id := range []string{"r1", "r2", "r4", "j1", "i1", "j2", "356294935", "356294936", "drafts"} {
		wanted, err := presentLog.Find(id)
		assert.NilError(t, err)
		trace, err := olderLog.Find(id)
		assert.NilError(t, err)
		assert.DeepEqual(t, trace, wanted)
	}
}
