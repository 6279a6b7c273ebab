package policy

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// KindProposal is the record kind of a Proposal in the config stream.
const KindProposal logrecord.Kind = "proposal"

// Limits of a proposal's strings.
const (
	MaxProposalIDBytes = 128
	MaxOperatorBytes   = 128
)

// ErrMalformedProposal is wrapped by every error of DecodeProposal.
var ErrMalformedProposal = errors.New("policy: malformed proposal")

// Proposal is the body of KindProposal: an edit of the table.
type Proposal struct {
	// ProposalID identifies the edit; it is not empty. Of several records with the
	// same ID only the first is evaluated.
	ProposalID string `msgpack:"id"`
	// BaseRevision is the revision that the edit is based on.
	BaseRevision int64 `msgpack:"b"`
	// Changes relative to the base, at most one per service, each with Before,
	// After or both. The form that Compact returns is sufficient.
	Changes RowChanges `msgpack:"c"`
	// Operator and UnixMS record who proposed the edit and when, by the clock of
	// the proposing node. They don't affect the verdict.
	Operator string `msgpack:"o,omitempty"`
	UnixMS   int64  `msgpack:"t,omitempty"`
}

// RowChanges is the list of a proposal's changes. Its custom decoder bounds the
// allocation: msgpack would trust the length field of a corrupted record.
type RowChanges []RowChange

var _ msgpack.CustomDecoder = (*RowChanges)(nil)

// maxChanges allows for replacing every row of a full table.
const maxChanges = 2 * MaxRows

// DecodeMsgpack implements msgpack.CustomDecoder. It fails on more than
// maxChanges changes.
func (c *RowChanges) DecodeMsgpack(decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length > maxChanges {
		return errors.Errorf("%d changes, expected at most %d", length, maxChanges)
	}
	*c = nil
	for range length {
		var change RowChange
		if err := decoder.Decode(&change); err != nil {
			return err
		}
		*c = append(*c, change)
	}
	return nil
}

// DecodeProposal decodes the body of a record and checks its limits. It does not
// validate the rows. Errors wrap ErrMalformedProposal.
func DecodeProposal(record logrecord.Record) (Proposal, error) {
	var proposal Proposal
	if err := logrecord.DecodeBody(record, &proposal); err != nil {
		return Proposal{}, errors.Wrapf(ErrMalformedProposal, "%v", err)
	}
	if err := proposal.Check(); err != nil {
		return Proposal{}, err
	}
	return proposal, nil
}

// Check returns an error that wraps ErrMalformedProposal if the proposal exceeds
// its limits; replicas reject such a proposal without evaluating it.
func (p *Proposal) Check() error {
	switch {
	case p.ProposalID == "" || len(p.ProposalID) > MaxProposalIDBytes:
		return errors.Wrapf(ErrMalformedProposal, "proposal ID has %d bytes, expected 1 to %d",
			len(p.ProposalID), MaxProposalIDBytes)
	case len(p.Operator) > MaxOperatorBytes:
		return errors.Wrapf(ErrMalformedProposal, "operator has %d bytes, expected at most %d",
			len(p.Operator), MaxOperatorBytes)
	case p.BaseRevision < 0:
		return errors.Wrapf(ErrMalformedProposal, "base revision %d is negative", p.BaseRevision)
	case len(p.Changes) > maxChanges:
		return errors.Wrapf(ErrMalformedProposal, "%d changes, expected at most %d", len(p.Changes), maxChanges)
	}
	return nil
}

// Fingerprint hashes the content of the proposal (base and changes). It
// distinguishes different edits submitted under the same ProposalID.
func (p *Proposal) Fingerprint() (uint64, error) {
	content := Proposal{BaseRevision: p.BaseRevision, Changes: Compact(p.Changes)}
	sortChanges(content.Changes)
	encoded, err := msgpack.Marshal(content)
	if err != nil {
		return 0, errors.Wrap(err, "encode proposal")
	}
	return xxhash.Sum64(encoded), nil
}
