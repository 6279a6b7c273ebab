package peak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMaxIsLargestValueWithinSpan(t *testing.T) {
	begin := time.Unix(1000, 0)
	var window Window
	assert.Equal(t, window.Max(), 0)
	for second, observed := range []int{3, 9, 4, 6, 1} {
		window.Observe(begin.Add(time.Duration(second)*time.Second), observed, 3*time.Second)
	}
	assert.Equal(t, window.Max(), 9, "3 s ago")
	window.Observe(begin.Add(5*time.Second), 1, 3*time.Second)
	assert.Equal(t, window.Max(), 6)
	window.Observe(begin.Add(time.Minute), 0, 3*time.Second)
	assert.Equal(t, window.Max(), 0)
}
