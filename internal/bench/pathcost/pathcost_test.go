package pathcost

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchmarkTokens is the length of a response in the benchmark.
const benchmarkTokens = 256

// startRoutesInProcess starts both routes in this process and returns a client for each.
func startRoutesInProcess(t testing.TB) (plain, path *client) {
	arguments := &Arguments{TokenInterval: time.Millisecond}
	engineAddress, err := startEngine(t.Context(), arguments)
	assert.NilError(t, err)
	baseline, err := newReverseProxy(engineAddress)
	assert.NilError(t, err)
	second, err := newDispatcher(t.Context(), engineAddress, io.Discard)
	assert.NilError(t, err)
	first, err := newGateway(second.address, io.Discard)
	assert.NilError(t, err)
	t.Cleanup(func() {
		first.close()
		second.close()
		baseline.close()
	})
	return newProxyClient(baseline.address), newPathClient(first.address)
}

func TestClientsReceiveCompleteResponses(t *testing.T) {
	plain, path := startRoutesInProcess(t)
	for _, route := range []*client{plain, path} {
		assert.NilError(t, route.run(t.Context(), 8, 4, 20))
	}
}

func TestSplitSeparatesChunkAndRequestCost(t *testing.T) {
	// 10 µs per request and 2 µs per chunk.
	cost := split(Cost{Microseconds: 12}, Cost{Microseconds: 10 + 2*64}, 64)
	assert.Equal(t, cost.PerChunk.Microseconds, 2.0)
	assert.Equal(t, cost.PerRequest.Microseconds, 10.0)
}

func TestReportRatioUsesMedians(t *testing.T) {
	var collected samples
	for _, chunk := range []float64{1, 9, 2} {
		one := RouteCost{PerChunk: Cost{Microseconds: chunk}, PerRequest: Cost{Microseconds: 1}}
		collected.add(one, []RouteCost{one, one})
	}
	report := collected.report(&Arguments{Rounds: 3})
	assert.Equal(t, report.Plain.PerChunk.Microseconds, 2.0)
	assert.Equal(t, report.ChunkRatio, 2.0)
	assert.Equal(t, report.Path.PerRequest.Microseconds, 2.0)
}

func TestRunRejectsInvalidArguments(t *testing.T) {
	err := Run(t.Context(), &Arguments{}, io.Discard)
	assert.ErrorContains(t, err, "--rounds is 0, expected 1..100")
	err = Run(t.Context(), &Arguments{Serve: "log"}, io.Discard)
	assert.ErrorContains(t, err, "expected plain, gateway or dispatcher")
}

// BenchmarkChunks relays responses of benchmarkTokens chunks over 16 streams. The
// results include the client and the engine, which run in the same process: use
// them to compare the routes and for profiling only.
func BenchmarkChunks(b *testing.B) {
	const streams = 16
	plain, path := startRoutesInProcess(b)
	for name, route := range map[string]*client{"plain": plain, "path": path} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			assert.NilError(b, route.run(b.Context(), max(b.N, streams), streams, benchmarkTokens))
		})
	}
}
