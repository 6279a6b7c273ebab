package batchrun

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPatienceWithASilentRun: one of which nothing was heard is given up sooner where
// engines are known to be fast.
func TestPatienceWithASilentRun(t *testing.T) {
	loading := ""
	r := New(Options{Loading: func(string) string { return loading }})
	patience := func(own *run) time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.patience(own)
	}
	silent, heard := &run{engine: "a"}, &run{engine: "a"}
	heard.heard.Store(true)
	assert.Equal(t, patience(silent), stallTimeout, "no pace is known")
	r.plan.ObservePace("a", 20*time.Millisecond)
	assert.Equal(t, patience(silent), beginTimeout)
	assert.Equal(t, patience(heard), stallTimeout)
	loading = "m"
	assert.Equal(t, patience(silent), loadingTimeout)
	assert.Equal(t, patience(heard), loadingTimeout)
	loading = ""
	slow := New(r.options)
	slow.plan.ObservePace("a", 90*time.Millisecond)
	assert.Equal(t, slow.patience(silent), 900*time.Millisecond)
	slow.plan.ObservePace("b", time.Second)
	slow.plan.ForgetEngines(func(engine string) bool { return engine == "a" })
	assert.Equal(t, slow.patience(silent), stallTimeout)
}

// TestARunThatDoesNotBeginGoesOnElsewhere, though the engine took it.
func TestARunThatDoesNotBeginGoesOnElsewhere(t *testing.T) {
	w := newWorld(t, "fast")
	w.engines.events["x"], w.engines.events["y"] = 30, 30
	w.engines.pause["fast"], w.engines.pause["dark"] = 10*time.Millisecond, time.Hour
	w.lead()
	w.submit("j", 1, "y")
	w.awaitResults(1)
	w.engines.setVersion("dark", 1)
	w.fleet.Put(engineOf("dark"))
	w.submit("j2", 1, "x")
	result := w.awaitResults(2)
	assert.Equal(t, string(result["j2/0"].Text), wholeText("x", 30))
}
