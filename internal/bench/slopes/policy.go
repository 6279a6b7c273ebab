package slopes

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corkpulley/corkpulley/internal/core/logrecord"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

func policySweeps() []sweep {
	rowCounts := []int{64, 128, 256, 512}
	return []sweep{
		{
			name: "table change against rows", role: RoleTable,
			size: "rows", unit: UnitMicroseconds, sizes: rowCounts,
			measure: func(_ context.Context, size int) (float64, error) { return tableChange(size) },
		},
		{
			name: "memory of table rows", role: RoleTable,
			size: "rows", unit: UnitBytes, sizes: rowCounts,
			measure: func(_ context.Context, size int) (float64, error) {
				return bytesHeld(func() (any, error) { return decodedTable(size) })
			},
		},
		{
			name: "bytes of the whole table", role: RoleTable,
			size: "rows", unit: UnitBytes, sizes: rowCounts, repetitions: 1,
			measure: func(_ context.Context, size int) (float64, error) {
				encoded, err := msgpack.Marshal(hollowRows(size))
				return float64(len(encoded)), err
			},
		},
		{
			name: "bytes of a proposal against changed rows", role: RoleTable,
			size: "changed rows", unit: UnitBytes, sizes: []int{1, 4, 16, 64}, repetitions: 1,
			measure: func(_ context.Context, size int) (float64, error) {
				writer := &recordWriter{}
				writer.add(policy.KindProposal, 0, editOf(hollowRows(size), size, 0, 3900))
				if writer.err != nil {
					return 0, writer.err
				}
				return float64(len(writer.records[0])), nil
			},
		},
	}
}

// tableChange returns the processor time to decode, judge and apply one
// accepted change of one row, at every node.
func tableChange(rows int) (float64, error) {
	const changes = 40
	writer := &recordWriter{}
	table := hollowRows(rows)
	writer.add(policy.KindProposal, 0, policy.Proposal{ProposalID: "first", Changes: policy.Diff(nil, table)})
	for index := range changes {
		proposal := editOf(table, 1, index, int64(index+1))
		writer.add(policy.KindProposal, 0, proposal)
		changed, err := policy.ApplyChanges(table, proposal.Changes)
		if err != nil {
			return 0, err
		}
		table = changed
	}
	if writer.err != nil {
		return 0, writer.err
	}
	reducer := &policy.Reducer{}
	if err := applyProposals(reducer, writer.records[:1], 0); err != nil {
		return 0, err
	}
	total, err := processorMicroseconds(func() error { return applyProposals(reducer, writer.records[1:], 1) })
	return total / changes, err
}

// editOf changes the share of some rows.
func editOf(rows []policy.Row, changed, number int, base int64) policy.Proposal {
	after := append([]policy.Row(nil), rows...)
	for index := range changed {
		row := &after[(number+index)%len(after)]
		row.Share = 1 + (row.Share+number)%999
	}
	return policy.Proposal{
		ProposalID:   fmt.Sprintf("operator-1-cv37img5mvgc%06d", number),
		BaseRevision: base,
		Changes:      policy.Compact(policy.Diff(rows, after)),
		Operator:     "operator-1", UnixMS: epoch.UnixMilli(),
	}
}

func applyProposals(reducer *policy.Reducer, encoded [][]byte, first int) error {
	for index, data := range encoded {
		record, err := logrecord.Decode(data)
		if err != nil {
			return err
		}
		if verdict := reducer.Apply(int64(first+index), record); verdict != logrecord.Accepted {
			return errors.Errorf("proposal %d is %s", first+index, verdict)
		}
	}
	return nil
}

// decodedTable is a table as a node holds it after decoding.
func decodedTable(rows int) (any, error) {
	encoded, err := msgpack.Marshal(&policy.Table{Revision: 1, Rows: hollowRows(rows)})
	if err != nil {
		return nil, err
	}
	table := &policy.Table{}
	return table, msgpack.Unmarshal(encoded, table)
}
