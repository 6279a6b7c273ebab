package tables

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// Guards against a late revision from the log replacing a higher one from a peer.
func TestAdoptIgnoresLowerRevisions(t *testing.T) {
	node := newNode(t, newTestNetwork(), newTestLog(t), "one")
	node.tables.adopt(&policy.Table{Revision: 9}, "peer")
	higher := node.tables.Changed(9)
	for _, revision := range []int64{5, 9, 0} {
		node.tables.adopt(&policy.Table{Revision: revision}, "log")
		assert.Equal(t, node.tables.Table().Revision, int64(9))
	}
	select {
	case <-higher:
		t.Fatal("Changed signaled without a higher revision")
	default:
	}
	node.tables.adopt(&policy.Table{Revision: 10}, "log")
	<-higher
	assert.Equal(t, node.tables.Table().Revision, int64(10))
}
