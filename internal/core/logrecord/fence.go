package logrecord

// Fence is the ownership state of one stream: who may write fenced records.
// The zero value is a stream that was never owned (epoch 0). It is a pure
// function of the claims and releases, and encodes with msgpack.
//
// Invariant: Epoch never falls, since it is the offset of the winning claim
// plus 1; two claims that name the same previous epoch cannot both win.
type Fence struct {
	// Epoch in force; 0 before the first claim.
	Epoch int64 `msgpack:"e"`
	// Owner is the node that holds Epoch, Address its peer address, Writer its
	// process start and stream incarnation.
	Owner   string `msgpack:"n"`
	Address string `msgpack:"a"`
	Writer  string `msgpack:"w"`
	// Released is set once the owner gave the epoch up; none may write until
	// the next claim wins.
	Released bool `msgpack:"r"`
}

// Check returns the verdict on a record, and applies it when it is a claim or
// a release. The caller has dropped repeats before (Sequences.Admit). Any other
// kind is taken for a fenced record: Accepted only under the epoch in force,
// from the writer that claimed it.
func (f *Fence) Check(offset int64, record Record) Verdict {
	switch record.Kind {
	case KindClaim:
		return f.claim(offset, record)
	case KindRelease:
		return f.release(record)
	default:
		return f.fenced(record)
	}
}

// Owned reports whether an owner holds the epoch in force.
func (f *Fence) Owned() bool { return f.Epoch != 0 && !f.Released }

// OwnedBy reports whether the writer holds the epoch and has not released it.
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
	verdict := f.fenced(record)
	if verdict == Accepted {
		f.Released = true
	}
	return verdict
}

func (f *Fence) fenced(record Record) Verdict {
	if !f.OwnedBy(record.Writer, record.Epoch) {
		return Fenced
	}
	return Accepted
}

// EpochOfClaim returns the epoch that a claim accepted at the offset begins.
func EpochOfClaim(offset int64) int64 { return offset + 1 }
