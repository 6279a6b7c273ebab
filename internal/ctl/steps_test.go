package ctl

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Guards against an abandoned step shown as done or unfinished.
func TestStepsShowTheirState(t *testing.T) {
	var output strings.Builder
	printSteps(&output, []api.StepStatus{
		{Trainer: "drafts", Step: "s-1", Wanted: 4, Acknowledged: 4, Done: true},
		{Trainer: "drafts", Step: "s-2", Wanted: 4, Acknowledged: 1, Abandoned: true},
		{Trainer: "drafts", Step: "s-3", Wanted: 4, Open: 4},
	})
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	assert.Equal(t, len(lines), 4)
	for index, state := range []string{"STATE", "done", "abandoned", "unfinished"} {
		assert.Assert(t, strings.Contains(lines[index], state), lines[index])
	}
}
