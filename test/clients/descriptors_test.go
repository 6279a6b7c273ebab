//go:build linux

package clients

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// fewDescriptors is the descriptor limit in tests of descriptors.
const fewDescriptors = 200

func smallDescriptors() limits {
	limits := smallMemory()
	limits.descriptors = fewDescriptors
	return limits
}

func TestIdleConnectionsBeyondDescriptors(t *testing.T) {
	for _, listener := range []string{"callers", "operators", "peers"} {
		t.Run(listener, func(t *testing.T) {
			d := startHosted(t, smallDescriptors())
			address := map[string]string{"callers": d.callers, "operators": d.operators, "peers": d.peers}[listener]
			gather(t, address, 2*fewDescriptors, func(int) string { return "" })
			d.checkServesCaller()
			d.checkWithinLimits()
		})
	}
}

// Connections that have been served and are kept open take descriptors too.
func TestServedConnectionsBeyondDescriptors(t *testing.T) {
	d := startHosted(t, smallDescriptors())
	gather(t, d.callers, 2*fewDescriptors, func(member int) string {
		return fmt.Sprintf("%sX-Corkpulley-Attempt-Id: a%d\r\nContent-Length: 0\r\n\r\n", startLine, member)
	})
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestUnsentBodiesBeyondDescriptors(t *testing.T) {
	d := startHosted(t, smallDescriptors())
	gather(t, d.callers, 2*fewDescriptors, func(member int) string {
		return fmt.Sprintf("%sX-Corkpulley-Attempt-Id: a%d\r\nContent-Length: 9\r\n\r\n", startLine, member)
	})
	d.checkServesCaller()
	d.checkWithinLimits()
}

func TestIdleConnectionsBeyondDescriptorsAtStandaloneDaemon(t *testing.T) {
	for _, listener := range []string{"callers", "operators", "peers"} {
		t.Run(listener, func(t *testing.T) {
			d := startStandalone(t, smallDescriptors())
			address := map[string]string{"callers": d.callers, "operators": d.operators, "peers": d.peers}[listener]
			gather(t, address, 2*fewDescriptors, func(int) string { return "" })
			d.checkAnswersStandalone()
			d.checkWithinLimits()
		})
	}
}

// Readiness is checked while callers hold all descriptors that they may have.
func TestReadinessWhileCallersHoldDescriptors(t *testing.T) {
	d := startHosted(t, smallDescriptors())
	gather(t, d.callers, 2*fewDescriptors, func(int) string { return startLine })
	request, err := http.NewRequest(http.MethodGet, "http://"+d.operators+"/readyz", nil)
	assert.NilError(t, err)
	assert.Equal(t, statusOf(request), http.StatusOK)
	d.checkServesCaller()
	d.checkWithinLimits()
}

// A crowd takes each descriptor again as soon as the daemon has closed a connection.
func TestIdleCrowdThatReconnectsAtOnce(t *testing.T) {
	d := startHosted(t, smallDescriptors())
	stop := gatherAgain(t, d.callers, 2*fewDescriptors, "")
	for range 5 {
		d.checkServesCaller()
	}
	stop()
	d.checkWithinLimits()
}
