package logrecord

// Fence is the ownership state of a stream: which writer may append fenced records. It is a deterministic function of
// the claims and releases in the stream. The zero value is the state of a stream that was never owned.
//
// Invariant: Epoch never decreases, since it is the offset of the accepted claim plus one. Of several claims with the
// same previous epoch, at most one is accepted.
type Fence struct {
	// Epoch is the current epoch; 0 before the first claim.
	Epoch int64 `msgpack:"e"`
	// Owner is the node that holds the epoch.
	Owner string `msgpack:"n"`
	// Address is the owner's address for other nodes.
	Address string `msgpack:"a"`
	// Writer is the Record.Writer of the accepted claim.
	Writer string `msgpack:"w"`
	// Released is true once the owner has released the epoch. No fenced record is then accepted until the next
	// claim.
	Released bool `msgpack:"r"`
}

// Apply returns the verdict on a record. Accepted claims and releases change the state. The caller must have dropped
// repeats (see Sequences.Admit). Records of all other kinds are fenced: they are Accepted only in the current epoch and
// from the writer that claimed it.
func (f *Fence) Apply(offset int64, record Record) Verdict {
	switch record.Kind {
	case KindClaim:
		return f.claim(offset, record)
	case KindRelease:
		return f.release(record)
	default:
		return f.checkOwner(record)
	}
}

// Owned reports whether the current epoch has an owner.
func (f *Fence) Owned() bool { return f.Epoch != 0 && !f.Released }

// OwnedBy reports whether the epoch is current, held by the writer and not released.
func (f *Fence) OwnedBy(writer string, epoch int64) bool {
	return f.Owned() && f.Epoch == epoch && f.Writer == writer
}

func (f *Fence) claim(offset int64, record Record) Verdict {
	var claim Claim
	if err := DecodeBody(record, &claim); err != nil || claim.Node == "" {
		return Invalid
	}
	if claim.PreviousEpoch != f.Epoch {
		return Fenced
	}
	*f = Fence{
		Epoch:   EpochOfClaim(offset),
		Owner:   claim.Node,
		Address: claim.Address,
		Writer:  record.Writer,
	}
	return Accepted
}

func (f *Fence) release(record Record) Verdict {
	verdict := f.checkOwner(record)
	if verdict == Accepted {
		f.Released = true
	}
	return verdict
}

func (f *Fence) checkOwner(record Record) Verdict {
	if !f.OwnedBy(record.Writer, record.Epoch) {
		return Fenced
	}
	return Accepted
}

// EpochOfClaim returns the epoch that an accepted claim at the offset starts.
func EpochOfClaim(offset int64) int64 { return offset + 1 }
