package timeline

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a killed leader shown as leading alongside its successor.
func TestTermWithoutLoggedEndIsMarkedAssumed(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"epoch":1,`, messageLeadershipGained),
		line(5000, "n2", `"epoch":2,`, messageLeadershipGained),
		line(7000, "n1", "", messageNodeStarted),
		line(9000, "n2", "", messageNodeStopping))
	assert.Equal(t, len(built.Terms), 2)
	assert.Equal(t, built.Terms[0].To.UnixMilli(), int64(5000))
	assert.Equal(t, built.Terms[0].EndKnownBy, EndAssumed)
	assert.Equal(t, built.Terms[1].To.UnixMilli(), int64(9000))
	assert.Equal(t, built.Terms[1].EndKnownBy, EndOpen)
	assert.Equal(t, len(built.Takeovers), 1)
	assert.Assert(t, !built.Takeovers[0].IsVacancyKnown)
}

// Guards against two overlapping leaders shown as none or as a vacancy.
func TestOverlappingTermsHaveNegativeVacancy(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"epoch":1,`, messageLeadershipGained),
		line(5000, "n2", `"epoch":2,`, messageLeadershipGained),
		line(5400, "n1", `"epoch":1,`, messageLeadershipLost),
		line(8000, "n2", `"epoch":2,`, messageLeadershipReleased),
		line(8100, "n1", `"epoch":3,`, messageLeadershipGained))
	assert.Equal(t, len(built.Takeovers), 2)
	assert.Equal(t, built.Takeovers[0].Vacancy, -400*time.Millisecond)
	assert.Equal(t, built.Takeovers[1].Vacancy, 100*time.Millisecond)
}

// Guards against takeovers reported between leaders of different home regions.
func TestScopesAreTrackedSeparately(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"epoch":1,`, messageLeadershipGained),
		line(2000, "n2", `"homes":"r2","epoch":1,`, messageLeadershipGained),
		line(3000, "n2", `"homes":"r2","epoch":1,`, messageLeadershipLost))
	assert.Equal(t, len(built.Takeovers), 0)
	assert.Equal(t, built.Terms[0].Scope, Everywhere)
	assert.Equal(t, built.Terms[0].EndKnownBy, EndOpen)
	assert.Equal(t, built.Terms[1].Scope, "r2")
	assert.Equal(t, built.Terms[1].EndKnownBy, EndLogged)
}

// Guards against a restarted node reported as the last one to apply a version.
func TestVersionReadAtStartIsExcludedFromSpread(t *testing.T) {
	built := readLines(t, Options{MinimumGap: time.Second},
		line(1000, "n1", `"config":4,`, messageConfiguration),
		line(1300, "n2", `"config":4,`, messageConfiguration),
		line(60000, "n3", "", messageNodeStarted),
		line(60100, "n3", `"config":4,`, messageConfiguration),
		line(60200, "n3", `"config":5,`, messageConfiguration))
	assert.Equal(t, built.Versions[0].Running.Spread(), 300*time.Millisecond)
	assert.Equal(t, built.Versions[0].Running.LastNode, "n2")
	assert.Equal(t, built.Versions[0].Starting.Nodes, 1)
	assert.Equal(t, built.Versions[1].Running.Nodes, 1)
}
