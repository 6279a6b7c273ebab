package msgpackguard

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

type sample struct {
	Names  []string          `msgpack:"n"`
	Counts map[string]uint64 `msgpack:"c"`
	Body   []byte            `msgpack:"b"`
	Inner  []sample          `msgpack:"i"`
	Share  float64           `msgpack:"s"`
	Small  int8              `msgpack:"m"`
}

func encoded(t testing.TB, value any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(value)
	assert.NilError(t, err)
	return data
}

var complete = sample{
	Names:  []string{"a", string(make([]byte, 300)), string(make([]byte, 70_000))},
	Counts: map[string]uint64{"x": 1, "y": 1 << 40},
	Body:   make([]byte, 40),
	Inner:  []sample{{Small: -3, Share: 0.5}, {Names: make([]string, 20)}},
}

func TestTruncatedValueIsRejected(t *testing.T) {
	data := encoded(t, &complete)
	assert.NilError(t, Check(data))
	assert.NilError(t, Check(append(bytes.Clone(data), 0xc1)), "bytes after the value are ignored")
	for length := range len(data) {
		assert.ErrorIs(t, Check(data[:length]), ErrLength)
	}
}

func TestLengthBeyondTheInputIsRejected(t *testing.T) {
	for _, data := range [][]byte{
		{0xdd, 0xff, 0xff, 0xff, 0xff, 0x01},             // array 32
		{0xdc, 0xff, 0xff, 0x01},                         // array 16
		{0xdf, 0x80, 0x00, 0x00, 0x00, 0x01},             // map 32, element count overflows 32 bits
		{0xde, 0x00, 0x01, 0x01},                         // map 16, value missing
		{0xc6, 0xff, 0xff, 0xff, 0xff, 0x01},             // bin 32
		{0xdb, 0xff, 0xff, 0xff, 0xff, 0x01},             // str 32
		{0xc9, 0xff, 0xff, 0xff, 0xff, 0x01},             // ext 32
		{0xd8, 0x01, 0x02},                               // fixext 16
		{0x92, 0xdd, 0x00, 0x00, 0x00, 0x02, 0x01, 0x01}, // outer array lacks an element
	} {
		assert.ErrorIs(t, Check(data), ErrLength, "% x", data)
	}
	assert.ErrorIs(t, Check([]byte{0x91, 0xc1}), ErrCode)
}

func TestNestingBeyondMaxDepthIsRejected(t *testing.T) {
	nested := func(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0x01) }
	assert.NilError(t, Check(nested(MaxDepth)))
	assert.ErrorIs(t, Check(nested(MaxDepth+1)), ErrDepth)
	assert.ErrorIs(t, Check(nested(1<<20)), ErrDepth)
}

// Guards against a Check that disagrees with the decoder on which values are complete, except for MaxDepth.
func FuzzCheck(f *testing.F) {
	f.Add(encoded(f, &complete))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{0xc7, 0x00, 0x05})
	f.Add([]byte{0xd4, 0x05, 0x01})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		err := Check(data)
		if len(data) > 1<<16 {
			return // the decoder's recursion could exhaust the stack
		}
		skipped := msgpack.NewDecoder(bytes.NewReader(data)).Skip()
		if err == nil {
			assert.NilError(t, skipped)
		} else {
			assert.Assert(t, skipped != nil || err == ErrDepth, "%v", err)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	data := encoded(b, &sample{Names: []string{"token ", "and ", "more "}, Counts: map[string]uint64{"x": 1}})
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if err := Check(data); err != nil {
			b.Fatal(err)
		}
	}
}
