package policy

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"
)

// ErrChangeMismatch is returned when a change is inconsistent with the rows that
// it is applied to.
var ErrChangeMismatch = errors.New("policy: change does not fit the table")

// Equal reports whether all columns of the two rows are equal.
func (r Row) Equal(other Row) bool {
	return len(changedColumns(r, other)) == 0
}

// Diff returns the row changes from before to after, sorted by service. Each
// table must have at most one row per service.
func Diff(before, after []Row) []RowChange {
	unmatched := rowsByService(before)
	var changes []RowChange
	for i := range after {
		previous, found := unmatched[after[i].Service]
		delete(unmatched, after[i].Service)
		switch {
		case !found:
			changes = append(changes, RowChange{Service: after[i].Service, After: copyRow(&after[i])})
		case !previous.Equal(after[i]):
			changes = append(changes, newChange(*previous, after[i]))
		}
	}
	for service, row := range unmatched {
		changes = append(changes, RowChange{Service: service, Before: copyRow(row)})
	}
	sortChanges(changes)
	return changes
}

// Compact returns the changes without Before and Columns, which ApplyChanges
// doesn't need.
func Compact(changes []RowChange) []RowChange {
	compact := make([]RowChange, len(changes))
	for i, change := range changes {
		compact[i] = RowChange{Service: change.Service, After: change.After}
	}
	return compact
}

// ApplyChanges returns the rows with the changes applied, sorted by service. A
// change without After removes its row. The input rows are not modified. It
// returns ErrChangeMismatch if a service is changed twice, a removed row does
// not exist, After names another service, or a row differs from Before.
func ApplyChanges(rows []Row, changes []RowChange) ([]Row, error) {
	result := rowsByService(rows)
	seen := make(map[string]bool, len(changes))
	for i := range changes {
		change := &changes[i]
		if seen[change.Service] {
			return nil, errors.Wrapf(ErrChangeMismatch, "service %q is changed twice", change.Service)
		}
		seen[change.Service] = true
		if err := checkChange(result[change.Service], change); err != nil {
			return nil, err
		}
		if change.After == nil {
			delete(result, change.Service)
		} else {
			result[change.Service] = change.After
		}
	}
	return sortedRows(result), nil
}

func checkChange(current *Row, change *RowChange) error {
	switch {
	case change.After == nil && current == nil:
		return errors.Wrapf(ErrChangeMismatch, "service %q is removed but does not exist", change.Service)
	case change.After != nil && change.After.Service != change.Service:
		return errors.Wrapf(ErrChangeMismatch, "row of %q stands under service %q", change.After.Service, change.Service)
	case change.Before != nil && (current == nil || !current.Equal(*change.Before)):
		return errors.Wrapf(ErrChangeMismatch, "service %q is not as it was before the change", change.Service)
	}
	return nil
}

// Conflicts returns the changes between base and current that the proposed table
// would revert or overwrite.
func Conflicts(base, current, proposed []Row) []RowChange {
	proposedRows := rowsByService(proposed)
	var conflicts []RowChange
	for _, change := range Diff(base, current) {
		if !sameRow(change.After, proposedRows[change.Service]) {
			conflicts = append(conflicts, change)
		}
	}
	return conflicts
}

// invertChanges returns the changes that undo the given ones.
func invertChanges(changes []RowChange) []RowChange {
	reversed := make([]RowChange, len(changes))
	for i, change := range changes {
		reversed[i] = RowChange{Service: change.Service, Before: change.After, After: change.Before}
	}
	return reversed
}

func newChange(before, after Row) RowChange {
	return RowChange{
		Service: after.Service,
		Before:  copyRow(&before),
		After:   copyRow(&after),
		Columns: changedColumns(before, after),
	}
}

// changedColumns returns the columns whose cells differ, in the order of Columns.
func changedColumns(before, after Row) []string {
	old, current := before.Cells(), after.Cells()
	var columns []string
	for i, column := range Columns {
		if old[i] != current[i] {
			columns = append(columns, column)
		}
	}
	return columns
}

func sameRow(a, b *Row) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Equal(*b)
}

// copyRow returns a deep copy. Empty zones become nil, so that equal rows have
// equal encodings.
func copyRow(row *Row) *Row {
	duplicate := *row
	duplicate.Zones = append([]string(nil), row.Zones...)
	return &duplicate
}

func rowsByService(rows []Row) map[string]*Row {
	byService := make(map[string]*Row, len(rows))
	for i := range rows {
		byService[rows[i].Service] = &rows[i]
	}
	return byService
}

func sortedRows(byService map[string]*Row) []Row {
	rows := make([]Row, 0, len(byService))
	for _, row := range byService {
		rows = append(rows, *copyRow(row))
	}
	sortRows(rows)
	return rows
}

func sortChanges(changes []RowChange) {
	slices.SortFunc(changes, func(a, b RowChange) int { return cmp.Compare(a.Service, b.Service) })
}
