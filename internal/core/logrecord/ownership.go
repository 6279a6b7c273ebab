package logrecord

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/msgpackguard"
)

// OwnershipReducer computes the owner of a stream that contains only claims and releases, such as orders/<model>. It
// implements logstream.Reducer. The zero value is ready to use.
type OwnershipReducer struct {
	state ownershipState
}

type ownershipState struct {
	Fence     Fence     `msgpack:"f"`
	Sequences Sequences `msgpack:"s"`
}

// Fence returns a copy of the ownership state.
func (r *OwnershipReducer) Fence() Fence { return r.state.Fence }

// Apply applies a claim or a release at the offset. Records of other kinds are Invalid.
func (r *OwnershipReducer) Apply(offset int64, record Record) Verdict {
	if verdict := r.state.Sequences.Admit(offset, record); verdict != Accepted {
		return verdict
	}
	if record.Kind != KindClaim && record.Kind != KindRelease {
		return Invalid
	}
	return r.state.Fence.Apply(offset, record)
}

// Snapshot returns the encoded state.
func (r *OwnershipReducer) Snapshot() ([]byte, error) { return msgpack.Marshal(&r.state) }

// Restore replaces the state by that of a snapshot. It does not change the state on error.
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
