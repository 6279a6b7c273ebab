package topology

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/bench/faultproxy"
)

func TestLinkLatencyAppliesWithoutFaultProxies(t *testing.T) {
	const oneWay = 20 * time.Millisecond
	deployment := &Deployment{
		config:  Config{CallerLatency: oneWay, PeerLatency: oneWay},
		network: faultproxy.NewNetwork(),
	}
	t.Cleanup(deployment.network.Close)
	node, err := deployment.newNode(NodeConfig{ID: "n1", Zone: "a"})
	assert.NilError(t, err)
	assert.Assert(t, node.LogLink == nil)
	for listened, reached := range map[string]string{node.Callers: node.callerAddress(), node.Peers: node.Advertised} {
		assert.Assert(t, listened != reached)
		assert.Assert(t, roundTrip(t, listened, reached) >= 2*oneWay)
	}
}

// roundTrip listens on one address, dials the other and returns the round-trip time of one byte.
func roundTrip(t *testing.T, listened, reached string) time.Duration {
	t.Helper()
	listener, err := net.Listen("tcp", listened)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = accepted.Close() }()
		_, _ = io.Copy(accepted, accepted)
	}()
	connection, err := net.Dial("tcp", reached)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	started := time.Now()
	_, err = connection.Write([]byte{1})
	assert.NilError(t, err)
	_, err = io.ReadFull(connection, make([]byte, 1))
	assert.NilError(t, err)
	return time.Since(started)
}
