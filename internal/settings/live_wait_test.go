package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wait that is negative, or longer than any live request is of use to its caller.
func TestCheckBoundsLiveWait(t *testing.T) {
	for wait, valid := range map[time.Duration]bool{
		-time.Millisecond: false, 0: true, 200 * time.Millisecond: true, 10 * time.Second: true, 10*time.Second + 1: false,
	} {
		settings := Default()
		settings.Node = Node{ID: "n1", Zone: "tumwater", Region: "pnw"}
		settings.Hosted.Log = "127.0.0.1:1"
		settings.Scheduling.LiveWait = Duration(wait)
		problems := Check(settings)
		assert.Equal(t, len(problems) == 0, valid, "%s: %v", wait, problems)
		if !valid {
			assert.Equal(t, problems[0].Key, "scheduling.live_wait")
		}
	}
}

// Guards against a setting without effect: only a node with hosted.log has such a queue.
func TestLiveWaitNeedsTheHostedLog(t *testing.T) {
	file := writeFile(t, completeFile+"[scheduling]\nlive_wait = \"200ms\"\n")
	_, problems := Load(Flags{File: file})
	assert.Equal(t, len(problems), 1, "%v", problems)
	assert.Equal(t, problems[0].Key, "hosted.log")
	address := "127.0.0.1:1"
	loaded, problems := Load(Flags{File: file, HostedLog: &address})
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, time.Duration(loaded.Scheduling.LiveWait), 200*time.Millisecond)
}
