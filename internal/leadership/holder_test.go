package leadership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

func TestHolderReportsLeaderAddress(t *testing.T) {
	log := memlog.New()
	first := joinAt(t, log, "a", "a1", "10.0.0.1:8546")
	testwait.Until(t, "a leads", first.leads)
	watcher := joinWith(t, log, Options{Holder: "b1", Node: "b", ClaimDelay: time.Hour})
	testwait.Until(t, "b knows where a listens", func() bool {
		return watcher.elector.Holder() == Holder{Node: "a", Address: "10.0.0.1:8546"}
	})
	first.elector.Stop(t.Context())
	testwait.Until(t, "b knows that nobody leads", func() bool { return watcher.elector.Holder() == Holder{} })
	assert.Assert(t, !watcher.leads())
}
