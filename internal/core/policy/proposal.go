package policy

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
)

// KindProposal is the kind of the config stream's records.
const KindProposal logrecord.Kind = "proposal"

// Bounds, in bytes, of the texts of a proposal.
const (
	MaxProposalID = 128
	MaxOperator   = 128
)

// ErrMalformedProposal is wrapped by every error of DecodeProposal.
var ErrMalformedProposal = errors.New("policy: malformed proposal")

// Proposal is the body of KindProposal: an edit of the table.
type Proposal struct {
	// ProposalID names the edit, 1..MaxProposalID bytes. Of several records
	// with the same ID only the first is judged.
	ProposalID string `msgpack:"id"`
	// BaseRevision is the revision that the edit started from.
	BaseRevision int64 `msgpack:"b"`
	// Changes from the base, at most one for a service, each with a row
	// before, after or both. Compact is enough.
	Changes RowChanges `msgpack:"c"`
	// Operator and UnixMS tell who proposed it, and when by the clock of the
	// proposing node; neither has an influence on the verdict.
	Operator string `msgpack:"o,omitempty"`
	UnixMS   int64  `msgpack:"t,omitempty"`
}

// RowChanges is the list of a proposal's changes. It decodes itself: msgpack
// would allocate whatever length a damaged record announces.
type RowChanges []RowChange

var _ msgpack.CustomDecoder = (*RowChanges)(nil)

// maxChanges: all rows of one table go and all rows of another come.
const maxChanges = 2 * MaxRows

// DecodeMsgpack decodes at most maxChanges changes.
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

// DecodeProposal decodes the body of a record and checks its bounds. It does
// not judge the rows.
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

// Check returns an error that wraps ErrMalformedProposal when the proposal is
// outside its bounds, so that no replica would judge it.
func (p *Proposal) Check() error {
	switch {
	case p.ProposalID == "" || len(p.ProposalID) > MaxProposalID:
		return errors.Wrapf(ErrMalformedProposal, "proposal ID has %d bytes, expected 1 to %d",
			len(p.ProposalID), MaxProposalID)
	case len(p.Operator) > MaxOperator:
		return errors.Wrapf(ErrMalformedProposal, "operator has %d bytes, expected at most %d",
			len(p.Operator), MaxOperator)
	case p.BaseRevision < 0:
		return errors.Wrapf(ErrMalformedProposal, "base revision %d is negative", p.BaseRevision)
	case len(p.Changes) > maxChanges:
		return errors.Wrapf(ErrMalformedProposal, "%d changes, expected at most %d", len(p.Changes), maxChanges)
	}
	return nil
}

// Fingerprint identifies what is proposed (base and changes), whoever proposes
// it and when. Two edits under one ProposalID are told apart by it.
func (p *Proposal) Fingerprint() (uint64, error) {
	content := Proposal{BaseRevision: p.BaseRevision, Changes: Compact(p.Changes)}
	sortChanges(content.Changes)
	encoded, err := msgpack.Marshal(content)
	if err != nil {
		return 0, errors.Wrap(err, "encode proposal")
	}
	return xxhash.Sum64(encoded), nil
}
