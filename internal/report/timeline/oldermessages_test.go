package timeline

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// olderMessages holds the messages that this package reads, with those that older builds logged in their place.
var olderMessages = map[string]string{
	messageLinesSuppressed:      "log lines left out",
	messageTopicRead:            "topic read whole",
	messageTopicReachability:    "topic contact changed",
	messagePathChanged:          "way to the log changed",
	messagePartitionUnreachable: "index partition out of reach",
	messagePartitionReachable:   "index partition in reach",
	messageLeaseReadFailed:      "lease contact lost",
	messageJobSubmitted:         "job handed in",
	messageJobEndRequested:      "job end asked",
	messageJobAccepted:          "job taken up",
}

// Guards against events that are missing for nodes which still run an older build.
func TestOlderMessagesGiveTheSameTimeline(t *testing.T) {
	names, err := filepath.Glob(filepath.Join("testdata", "*.log"))
	assert.NilError(t, err)
	present := line(1796283496000, "node-0", `"left_out":"request ended","lines":120,`, messageLinesSuppressed) + "\n"
	for _, name := range names {
		logs, err := os.ReadFile(name)
		assert.NilError(t, err)
		present += string(logs)
	}
	older := present
	for message, olderMessage := range olderMessages {
		inLine := `"message":"` + message + `"`
		assert.Assert(t, strings.Contains(present, inLine), message)
		older = strings.ReplaceAll(older, inLine, `"message":"`+olderMessage+`"`)
	}
	options := Options{MinimumGap: time.Second}
	wanted, built := readLines(t, options, present), readLines(t, options, older)
	assert.Assert(t, reflect.DeepEqual(built, wanted), "got %+v, wanted %+v", built, wanted)
}
