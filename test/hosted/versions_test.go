package hosted

import (
	"bytes"
	"net"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/clusterversion"
	"github.com/corkpulley/corkpulley/internal/hosted"
	"github.com/corkpulley/corkpulley/internal/settings"
	"github.com/corkpulley/corkpulley/platform"
)

// writeClusterVersion writes a record that raises the cluster version.
func (d *deployment) writeClusterVersion(version clusterversion.Version) {
	d.t.Helper()
	raised := clusterversion.Raised{Version: version, Holder: "later-1"}
	value, err := raised.Encode()
	assert.NilError(d.t, err)
	d.store.Log.Put(platform.New(d.address, "").VersionTopic(), raised.Key(), value)
}

// Guards against a downgrade that misreads the records of a newer build: the node must exit before it serves.
func TestBuildOlderThanClusterVersionExitsBeforeListening(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.writeClusterVersion(clusterversion.Build + 1)
	config := settings.Default()
	config.Node = settings.Node{ID: "a", Zone: "z1", Region: "r1"}
	var listeners []net.Listener
	occupiedAddress := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, listener)
		return listener.Addr().String()
	}
	// All ports are taken, so a node that tries to listen fails with another error.
	config.Listen = settings.Listen{Callers: occupiedAddress(), Operators: occupiedAddress(), Peers: occupiedAddress()}
	config.Hosted.Log = d.address
	err := hosted.Run(t.Context(), config, platform.New(d.address, ""), nil, &bytes.Buffer{})
	var tooOld *clusterversion.TooOldError
	assert.Assert(t, errors.As(err, &tooOld), "%v", err)
	assert.Equal(t, *tooOld, clusterversion.TooOldError{Build: clusterversion.Build, Cluster: clusterversion.Build + 1})
	for _, listener := range listeners {
		assert.NilError(t, listener.Close())
	}
}
