package policy

import (
	"encoding/csv"
	"strconv"
	"strings"
)

// Column names, as in Columns.
const (
	columnService    = "service"
	columnKind       = "kind"
	columnPool       = "pool"
	columnModel      = "model"
	columnVersion    = "version"
	columnPriority   = "priority"
	columnShare      = "share"
	columnStaleness  = "staleness"
	columnCap        = "cap"
	columnRepeatable = "repeatable"
	columnZones      = "zones"
	columnFloor      = "floor"
)

// cellParser parses the cells of one line and collects the problems.
type cellParser struct {
	cells    map[string]string
	problems []Problem
}

// parseRow parses the cells of one line, keyed by column, and validates the row.
// A cell that fails to parse is reported once and not validated further.
func parseRow(cells map[string]string) (Row, []Problem) {
	parser := &cellParser{cells: cells}
	row := Row{
		Service:    cells[columnService],
		Kind:       ServiceKind(cells[columnKind]),
		Pool:       cells[columnPool],
		Model:      cells[columnModel],
		Version:    parser.version(),
		Priority:   parser.number(columnPriority),
		Share:      parser.number(columnShare),
		Staleness:  parser.optionalNumber(columnStaleness, unboundedStaleness),
		Cap:        parser.optionalNumber(columnCap, uncapped),
		Repeatable: parser.yesOrNo(columnRepeatable),
		Zones:      parser.zones(),
		Floor:      parser.number(columnFloor),
	}
	problems := parser.problems
	for _, problem := range validateRow(row) {
		if !hasColumn(problems, problem.Column) {
			problem.Value = cells[problem.Column]
			problems = append(problems, problem)
		}
	}
	return row, problems
}

func hasColumn(problems []Problem, column string) bool {
	for _, problem := range problems {
		if problem.Column == column {
			return true
		}
	}
	return false
}

func (p *cellParser) addProblem(column string) {
	p.problems = append(p.problems, Problem{
		Column:   column,
		Value:    p.cells[column],
		Expected: expectedCell[column],
	})
}

func (p *cellParser) number(column string) int {
	// Every column's range fits in 32 bits.
	value, err := strconv.ParseInt(p.cells[column], 10, 32)
	if err != nil {
		p.addProblem(column)
		return 0
	}
	return int(value)
}

// optionalNumber parses a non-negative number, or "-", for which it returns the value
// none. It rejects that value written as a number, so that every value has one
// textual form.
func (p *cellParser) optionalNumber(column string, none int) int {
	if p.cells[column] == cellNone {
		return none
	}
	value := p.number(column)
	if value < 0 || (value == none && !hasColumn(p.problems, column)) {
		p.addProblem(column)
		return none
	}
	return value
}

func (p *cellParser) version() uint64 {
	cell := p.cells[columnVersion]
	if strings.EqualFold(cell, cellLatest) {
		return VersionLatest
	}
	value, err := strconv.ParseUint(cell, 10, 64)
	if err != nil || value == VersionLatest {
		p.addProblem(columnVersion)
	}
	return value
}

func (p *cellParser) yesOrNo(column string) bool {
	switch strings.ToLower(p.cells[column]) {
	case cellYes:
		return true
	case cellNo:
		return false
	default:
		p.addProblem(column)
		return false
	}
}

func (p *cellParser) zones() []string {
	cell := p.cells[columnZones]
	switch cell {
	case cellAnyZone:
		return nil
	case "":
		p.addProblem(columnZones)
		return nil
	}
	zones := strings.Split(cell, zoneSeparator)
	for i := range zones {
		zones[i] = strings.TrimSpace(zones[i])
	}
	return zones
}

// FormatCSV encodes rows, in the given order, in the CSV form that ParseCSV reads.
func FormatCSV(rows []Row) string {
	var text strings.Builder
	writer := csv.NewWriter(&text)
	// Writes to a strings.Builder do not fail.
	_ = writer.Write(Columns)
	for _, row := range rows {
		_ = writer.Write(row.Cells())
	}
	writer.Flush()
	return text.String()
}

// Cells returns the row's CSV cells in the order of Columns.
func (r Row) Cells() []string {
	return []string{
		r.Service,
		string(r.Kind),
		r.Pool,
		r.Model,
		formatVersion(r.Version),
		strconv.Itoa(r.Priority),
		strconv.Itoa(r.Share),
		formatOptional(r.Staleness, unboundedStaleness),
		formatOptional(r.Cap, uncapped),
		formatYesOrNo(r.Repeatable),
		formatZones(r.Zones),
		strconv.Itoa(r.Floor),
	}
}

func formatVersion(version uint64) string {
	if version == VersionLatest {
		return cellLatest
	}
	return strconv.FormatUint(version, 10)
}

func formatOptional(value, none int) string {
	if value == none {
		return cellNone
	}
	return strconv.Itoa(value)
}

func formatYesOrNo(value bool) string {
	if value {
		return cellYes
	}
	return cellNo
}

func formatZones(zones []string) string {
	if len(zones) == 0 {
		return cellAnyZone
	}
	return strings.Join(zones, zoneSeparator)
}

// FormatRevisionComment returns the comment line that ParseRevisionComment reads;
// it precedes the header.
func FormatRevisionComment(revision int64) string {
	return revisionComment + strconv.FormatInt(revision, 10) + "\n"
}
