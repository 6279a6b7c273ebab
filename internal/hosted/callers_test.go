package hosted

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// Guards against a job that is not found because the query before it failed with HistoryLost, and against NotFound if
// any query failed so.
func TestFirstFoundWithLostHistory(t *testing.T) {
	answers := map[string]error{
		"unsure": errkind.New(errkind.HistoryLost, "why"), "none": errkind.New(errkind.NotFound, "why"),
		"out of reach": errkind.New(errkind.LogUnavailable, "why"), "job": nil,
	}
	run := func(id string) (string, error) { return id, answers[id] }
	for _, each := range []struct {
		names []string
		found string
		kind  errkind.Kind
	}{
		{names: []string{"none", "job"}, found: "job"},
		{names: []string{"unsure", "none", "job"}, found: "job"},
		{names: []string{"none", "none"}, kind: errkind.NotFound},
		{names: []string{"unsure", "none"}, kind: errkind.HistoryLost},
		{names: []string{"unsure", "out of reach", "job"}, kind: errkind.LogUnavailable},
	} {
		found, err := firstFound(each.names, run)
		if each.found != "" {
			assert.NilError(t, err, "%v", each.names)
			assert.Equal(t, found, each.found)
			continue
		}
		assert.Equal(t, errkind.KindOf(err), each.kind, "%v", each.names)
	}
}
