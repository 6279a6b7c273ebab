package hosted

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/settings"
)

func TestReloadReportsNeededRestart(t *testing.T) {
	defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
	var logs bytes.Buffer
	config := settings.Default()
	n := &node{config: config, state: newState(time.Second), logger: zerolog.New(&logs)}
	config.Shutdown.Grace = settings.Duration(7 * time.Second)
	n.reload(config)
	assert.Equal(t, n.state.gracePeriod(), 7*time.Second)
	assert.Assert(t, bytes.Contains(logs.Bytes(), []byte(`"needs_restart":false`)), logs.String())
	config.Node.Zone = "elsewhere"
	n.reload(config)
	assert.Assert(t, bytes.Contains(logs.Bytes(), []byte(`"needs_restart":true`)), logs.String())
}
