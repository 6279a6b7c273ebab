package answered

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnAnswerThatLayHereIsAsOldAsItsRead: the machine was suspended after a read was answered, so
// the answer is seconds old when it is processed.
func TestAnAnswerThatLayHereIsAsOldAsItsRead(t *testing.T) {
	sent := time.Unix(1000, 0)
	assert.Equal(t, At(sent, time.Second, sent.Add(1100*time.Millisecond)), sent.Add(time.Second))
	assert.Equal(t, At(sent, time.Second, sent.Add(6*time.Second)), sent.Add(time.Second))
	assert.Equal(t, At(sent, time.Second, sent.Add(300*time.Millisecond)), sent.Add(300*time.Millisecond))
}
