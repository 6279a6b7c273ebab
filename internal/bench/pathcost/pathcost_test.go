package pathcost

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchmarkTokens is the length of an answer in the benchmark.
const benchmarkTokens = 256

// startPath starts both hops in this process.
func startPath(t testing.TB) (plain, path *client) {
	arguments := &Arguments{TokenInterval: time.Millisecond}
	engineAddress, err := startEngine(t.Context(), arguments)
	assert.NilError(t, err)
	baseline, err := newPlain(engineAddress)
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
	return newPlainClient(baseline.address), newPathClient(first.address)
}

func TestBothWaysAnswerWhole(t *testing.T) {
	plain, path := startPath(t)
	for _, way := range []*client{plain, path} {
		assert.NilError(t, way.run(t.Context(), 8, 4, 20))
	}
}

func TestSplitTellsChunksFromRequests(t *testing.T) {
	// 10 a request and 2 a chunk.
	side := split(Cost{Microseconds: 12}, Cost{Microseconds: 10 + 2*64}, 64)
	assert.Equal(t, side.PerChunk.Microseconds, 2.0)
	assert.Equal(t, side.PerRequest.Microseconds, 10.0)
}

func TestRatioIsOfMedians(t *testing.T) {
	var taken samples
	for _, chunk := range []float64{1, 9, 2} {
		one := Side{PerChunk: Cost{Microseconds: chunk}, PerRequest: Cost{Microseconds: 1}}
		taken.add(one, []Side{one, one})
	}
	report := taken.report(&Arguments{Rounds: 3})
	assert.Equal(t, report.Plain.PerChunk.Microseconds, 2.0)
	assert.Equal(t, report.ChunkRatio, 2.0)
	assert.Equal(t, report.Path.PerRequest.Microseconds, 2.0)
}

func TestArgumentsOutOfRangeAreRefused(t *testing.T) {
	err := Run(t.Context(), &Arguments{}, io.Discard)
	assert.ErrorContains(t, err, "--rounds is 0, expected 1..100")
	err = Run(t.Context(), &Arguments{Serve: "log"}, io.Discard)
	assert.ErrorContains(t, err, "expected plain, gateway or dispatcher")
}

// BenchmarkChunks relays answers of benchmarkTokens chunks over 16 streams. The
// client and the engine run in the same process: compare the two ways, and read
// the profile, rather than take the figures as the hops' own.
func BenchmarkChunks(b *testing.B) {
	const streams = 16
	plain, path := startPath(b)
	for name, way := range map[string]*client{"plain": plain, "path": path} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			assert.NilError(b, way.run(b.Context(), max(b.N, streams), streams, benchmarkTokens))
		})
	}
}
