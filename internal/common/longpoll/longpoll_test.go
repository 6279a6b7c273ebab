package longpoll

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against stale state: after a suspension, a response may be processed seconds after it was sent.
func TestResponseTimeIsLimitedByTheWait(t *testing.T) {
	sent := time.Unix(1000, 0)
	assert.Equal(t, AsOf(sent, time.Second, sent.Add(1100*time.Millisecond)), sent.Add(time.Second))
	assert.Equal(t, AsOf(sent, time.Second, sent.Add(6*time.Second)), sent.Add(time.Second))
	assert.Equal(t, AsOf(sent, time.Second, sent.Add(300*time.Millisecond)), sent.Add(300*time.Millisecond))
}
