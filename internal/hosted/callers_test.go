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
		"history lost": errkind.New(errkind.HistoryLost, "reason"), "absent": errkind.New(errkind.NotFound, "reason"),
		"log unavailable": errkind.New(errkind.LogUnavailable, "reason"), "stored": nil,
	}
	run := func(id string) (string, error) { return id, answers[id] }
	for _, each := range []struct {
		names []string
		found string
		kind  errkind.Kind
	}{
		{names: []string{"absent", "stored"}, found: "stored"},
		{names: []string{"history lost", "absent", "stored"}, found: "stored"},
		{names: []string{"absent", "absent"}, kind: errkind.NotFound},
		{names: []string{"history lost", "absent"}, kind: errkind.HistoryLost},
		{names: []string{"history lost", "log unavailable", "stored"}, kind: errkind.LogUnavailable},
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
