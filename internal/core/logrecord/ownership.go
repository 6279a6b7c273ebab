package logrecord

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// OwnershipReducer reduces a stream that holds only claims and releases, such
// as orders/<model>. The zero value is ready. It implements logstream.Reducer.
type OwnershipReducer struct {
	state ownershipState
}

type ownershipState struct {
	Fence     Fence     `msgpack:"f"`
	Sequences Sequences `msgpack:"s"`
}

// Fence returns a copy of the ownership state.
func (r *OwnershipReducer) Fence() Fence { return r.state.Fence }

// Apply applies a claim or a release; every other kind is Invalid.
func (r *OwnershipReducer) Apply(offset int64, record Record) Verdict {
	if verdict := r.state.Sequences.Admit(offset, record); verdict != Accepted {
		return verdict
	}
	if record.Kind != KindClaim && record.Kind != KindRelease {
		return Invalid
	}
	return r.state.Fence.Check(offset, record)
}

// Snapshot encodes the state.
func (r *OwnershipReducer) Snapshot() ([]byte, error) { return msgpack.Marshal(&r.state) }

// Restore replaces the state by a snapshot's.
func (r *OwnershipReducer) Restore(snapshot []byte) error {
	var state ownershipState
	if err := msgpackguard.Check(snapshot); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(snapshot, &state); err != nil {
		return err
	}
	r.state = state
	return nil
}
