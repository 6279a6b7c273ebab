package logrecord

import (
	"bytes"
	"runtime"
	"strconv"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/corkpulley/corkpulley/internal/common/fixedseed"
)

func TestEncodeDecode(t *testing.T) {
	body, err := EncodeBody(Claim{PreviousEpoch: 7, Node: "node-1", Address: "127.0.0.1:1"})
	assert.NilError(t, err)
	record := Record{Writer: "writer-1", Sequence: 3, Base: 12, Epoch: 7, Kind: KindClaim, Body: body}
	data, err := Encode(record)
	assert.NilError(t, err)
	decoded, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, record)

	_, err = Decode(append(data, 0))
	assert.ErrorIs(t, err, ErrMalformed)
}

func TestEncodeAndDecodeRejectInvalidRecords(t *testing.T) {
	for name, record := range map[string]Record{
		"no writer":      {Sequence: 1, Kind: KindClaim},
		"no kind":        {Writer: "w", Sequence: 1},
		"no sequence":    {Writer: "w", Kind: KindClaim},
		"negative base":  {Writer: "w", Sequence: 1, Base: -1, Kind: KindClaim},
		"negative epoch": {Writer: "w", Sequence: 1, Epoch: -1, Kind: KindClaim},
		"long writer":    {Writer: string(make([]byte, MaxNameBytes+1)), Sequence: 1, Kind: KindClaim},
	} {
		data, err := msgpack.Marshal(record)
		assert.NilError(t, err)
		_, err = Decode(data)
		assert.ErrorIs(t, err, ErrMalformed, name)
		_, err = Encode(record)
		assert.ErrorIs(t, err, ErrMalformed, name)
	}
	_, err := Decode(make([]byte, MaxRecordBytes+1))
	assert.ErrorIs(t, err, ErrMalformed)
}

func FuzzDecode(f *testing.F) {
	valid, err := Encode(Record{Writer: "w", Sequence: 1, Kind: KindRelease, Epoch: 4})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add([]byte{})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x80})
	f.Add(bytes.Repeat([]byte{0x91}, 1<<12))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = DecodeBody(Record{Body: data}, &[]Claim{})
		record, err := Decode(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
			return
		}
		encoded, err := Encode(record)
		assert.NilError(t, err)
		again, err := Decode(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, record)
	})
}

// Guards against a record that takes effect twice: copies are read at random distances, also after their writer was
// removed, with snapshots in between.
func TestSequencesNeverAdmitTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sequences Sequences
		admitted := make(map[string]map[uint64]bool)
		highest := make(map[string]uint64)
		var sent []Record
		offset := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			offset += rapid.SampledFrom([]int64{1, 2, sweepInterval, WriterRetentionOffsets / 2, WriterRetentionOffsets + 1}).Draw(t, "gap")
			var record Record
			if len(sent) > 0 && rapid.Bool().Draw(t, "copy") {
				record = rapid.SampledFrom(sent).Draw(t, "sent")
			} else {
				writer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
				highest[writer]++
				record = Record{Writer: writer, Sequence: highest[writer], Base: offset, Kind: "test"}
				sent = append(sent, record)
			}
			if rapid.Bool().Draw(t, "snapshot") {
				sequences = snapshotRoundTrip(t, sequences)
			}
			if sequences.Admit(offset, record) == Accepted {
				assert.Assert(t, !admitted[record.Writer][record.Sequence])
				if admitted[record.Writer] == nil {
					admitted[record.Writer] = make(map[uint64]bool)
				}
				admitted[record.Writer][record.Sequence] = true
			}
		}
		for writer, last := range highest {
			assert.Equal(t, uint64(len(admitted[writer])), last, "every first copy must be accepted")
		}
	})
}

func snapshotRoundTrip(t assert.TestingT, sequences Sequences) Sequences {
	data, err := msgpack.Marshal(sequences)
	assert.NilError(t, err)
	var copied Sequences
	assert.NilError(t, msgpack.Unmarshal(data, &copied))
	return copied
}

func TestSequencesAreBounded(t *testing.T) {
	var sequences Sequences
	for offset := range int64(4 * WriterRetentionOffsets) {
		writer := strconv.FormatInt(offset, 10)
		sequences.Admit(offset, Record{Writer: writer, Sequence: 1, Base: offset, Kind: "test"})
	}
	assert.Assert(t, len(sequences.writers) <= WriterRetentionOffsets+2*sweepInterval)
	assert.Equal(t, sequences.Admit(4*WriterRetentionOffsets, Record{Writer: "old", Sequence: 1, Kind: "test"}), Expired)
}

func claimRecord(t *testing.T, writer string, sequence uint64, previous int64) Record {
	t.Helper()
	body, err := EncodeBody(Claim{PreviousEpoch: previous, Node: "node-" + writer, Address: "127.0.0.1:1"})
	assert.NilError(t, err)
	return Record{Writer: writer, Sequence: sequence, Kind: KindClaim, Body: body}
}

func TestOwnershipReducer(t *testing.T) {
	var reducer OwnershipReducer
	steps := []struct {
		record  Record
		verdict Verdict
	}{
		{Record{Writer: "a", Sequence: 1, Kind: KindRelease}, Fenced},
		{claimRecord(t, "a", 2, 0), Accepted}, // offset 1, epoch 2
		{claimRecord(t, "b", 1, 0), Fenced},
		{claimRecord(t, "a", 2, 0), Repeated},
		{Record{Writer: "b", Sequence: 2, Epoch: 2, Kind: KindRelease}, Fenced},
		{claimRecord(t, "b", 3, 2), Accepted}, // offset 5, epoch 6
		{Record{Writer: "a", Sequence: 3, Epoch: 2, Kind: KindRelease}, Fenced},
		{Record{Writer: "b", Sequence: 4, Epoch: 6, Kind: KindRelease}, Accepted},
		{Record{Writer: "b", Sequence: 5, Epoch: 6, Kind: KindRelease}, Fenced},
		{Record{Writer: "b", Sequence: 6, Epoch: 6, Kind: "other"}, Invalid},
		{Record{Writer: "b", Sequence: 7, Kind: KindClaim, Body: []byte{0xc1}}, Invalid},
	}
	for offset, step := range steps {
		assert.Equal(t, reducer.Apply(int64(offset), step.record), step.verdict, "offset %d", offset)
		snapshot, err := reducer.Snapshot()
		assert.NilError(t, err)
		var copied OwnershipReducer
		assert.NilError(t, copied.Restore(snapshot))
		assert.Equal(t, copied.Fence(), reducer.Fence())
		reducer = copied
	}
	want := Fence{Epoch: 6, Owner: "node-b", Address: "127.0.0.1:1", Writer: "b", Released: true}
	assert.Equal(t, reducer.Fence(), want)
}

func TestFenceRejectsOtherWriterInSameEpoch(t *testing.T) {
	var fence Fence
	assert.Equal(t, fence.Apply(0, claimRecord(t, "a", 1, 0)), Accepted)
	assert.Equal(t, fence.Apply(1, Record{Writer: "a", Sequence: 2, Epoch: 1, Kind: "fill"}), Accepted)
	assert.Equal(t, fence.Apply(2, Record{Writer: "b", Sequence: 1, Epoch: 1, Kind: "fill"}), Fenced)
}

// Guards against a record of a few bytes whose encoded length causes a large allocation at every reader.
func TestDecodingBoundsAllocations(t *testing.T) {
	claim := []byte{0xdd, 0x00, 0x40, 0x00, 0x00, 0x80} // an array of 4 Mi elements, of which only one follows
	var bodies []Claim
	allocated := allocatedBy(func() {
		assert.ErrorIs(t, DecodeBody(Record{Body: claim}, &bodies), ErrMalformed)
	})
	assert.Assert(t, allocated < 1<<20, "allocated %d bytes for a body of %d bytes", allocated, len(claim))

	var reducer OwnershipReducer
	snapshot := append([]byte{0x81, 0xa1, 's', 0x81, 0xa1, 'w'}, claim...)
	allocated = allocatedBy(func() { assert.Assert(t, reducer.Restore(snapshot) != nil) })
	assert.Assert(t, allocated < 1<<20, "allocated %d bytes for a snapshot of %d bytes", allocated, len(snapshot))
}

// allocatedBy returns the number of bytes that a function allocates.
func allocatedBy(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
