package policy

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// MaxProblems bounds the problems that ParseCSV and Validate return.
const MaxProblems = 1000

// maxProblemValueBytes bounds Problem.Value.
const maxProblemValueBytes = 80

const (
	byteOrderMark      = "\uFEFF"
	commentMark        = '#'
	revisionComment    = "# revision "
	zoneSeparator      = ";"
	cellNone           = "-"
	cellAnyZone        = "*"
	cellLatest         = "latest"
	cellYes            = "yes"
	cellNo             = "no"
	unboundedStaleness = -1
	uncapped           = 0
)

// ParseCSV parses the CSV form of a table. It returns either the rows sorted by
// service or all problems found, at most MaxProblems.
//
// Spreadsheet exports are accepted: a byte order mark, CRLF, blank lines, lines
// of empty cells, spaces around cells and reordered columns. Lines that start
// with '#' are comments.
func ParseCSV(text string) ([]Row, []Problem) {
	parser := &csvParser{reader: newCSVReader(text)}
	parser.readHeader()
	if len(parser.problems) == 0 {
		parser.readRows()
	}
	if len(parser.problems) > 0 {
		return nil, parser.problems
	}
	sortRows(parser.rows)
	return parser.rows, nil
}

// ParseRevisionComment returns the revision in a leading comment line
// "# revision N", as written by "corkctl table show --csv".
func ParseRevisionComment(text string) (int64, bool) {
	for line := range strings.Lines(strings.TrimPrefix(text, byteOrderMark)) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		number, found := strings.CutPrefix(line, revisionComment)
		if !found {
			return 0, false
		}
		// Spreadsheets pad the comment line with empty cells.
		number = strings.TrimSpace(strings.TrimRight(number, ","))
		revision, err := strconv.ParseInt(number, 10, 64)
		return revision, err == nil && revision >= 0
	}
	return 0, false
}

func newCSVReader(text string) *csv.Reader {
	reader := csv.NewReader(strings.NewReader(strings.TrimPrefix(text, byteOrderMark)))
	reader.Comment = commentMark
	reader.FieldsPerRecord = -1
	return reader
}

// csvParser reads a table line by line and collects rows and problems.
type csvParser struct {
	reader   *csv.Reader
	columns  []string // column names in header order
	rows     []Row
	lines    []int // line numbers, parallel to rows
	problems []Problem
}

func (p *csvParser) addProblem(problem Problem) {
	if len(p.problems) < MaxProblems {
		problem.Value = truncate(problem.Value)
		p.problems = append(p.problems, problem)
	}
}

// next returns the next non-blank line; more is false at the end of the input or
// after MaxProblems problems.
func (p *csvParser) next() (fields []string, line int, more bool) {
	for len(p.problems) < MaxProblems {
		fields, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return nil, 0, false
		}
		if err != nil {
			p.addSyntaxProblem(err)
			continue
		}
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		if slices.IndexFunc(fields, func(field string) bool { return field != "" }) < 0 {
			continue
		}
		line, _ := p.reader.FieldPos(0)
		return fields, line, true
	}
	return nil, 0, false
}

func (p *csvParser) addSyntaxProblem(err error) {
	var syntax *csv.ParseError
	if !errors.As(err, &syntax) {
		p.addProblem(Problem{Expected: "readable CSV: " + err.Error()})
		return
	}
	p.addProblem(Problem{
		Line:     syntax.StartLine,
		Expected: fmt.Sprintf("well-formed CSV (%v at line %d, byte %d)", syntax.Err, syntax.Line, syntax.Column),
	})
}

func (p *csvParser) readHeader() {
	fields, line, more := p.next()
	if len(p.problems) > 0 {
		return // the header is malformed; don't parse the following line as a header
	}
	if !more {
		p.addProblem(Problem{Line: 1, Expected: "a header line: " + strings.Join(Columns, ",")})
		return
	}
	if len(fields) == 1 && strings.ContainsAny(fields[0], ";\t") {
		p.addProblem(Problem{Line: line, Value: fields[0], Expected: "cells separated by commas"})
		return
	}
	for _, field := range fields {
		p.addColumn(line, strings.ToLower(field))
	}
	for _, column := range Columns {
		if !slices.Contains(p.columns, column) {
			p.addProblem(Problem{Line: line, Column: column, Expected: "a column with this name in the header"})
		}
	}
}

func (p *csvParser) addColumn(line int, column string) {
	switch {
	case column == "":
		// Spreadsheets may append empty columns.
	case !slices.Contains(Columns, column):
		p.addProblem(Problem{Line: line, Column: column, Value: column, Expected: "one of " + strings.Join(Columns, ",")})
	case slices.Contains(p.columns, column):
		p.addProblem(Problem{Line: line, Column: column, Value: column, Expected: "each column once"})
	}
	p.columns = append(p.columns, column)
}

func (p *csvParser) readRows() {
	for {
		fields, line, more := p.next()
		if !more {
			break
		}
		p.addRow(fields, line)
		if len(p.rows) > MaxRows {
			p.addProblem(Problem{Line: line, Expected: fmt.Sprintf("at most %d rows", MaxRows)})
			return
		}
	}
	p.reportDuplicates()
}

func (p *csvParser) addRow(fields []string, line int) {
	cells := make(map[string]string, len(p.columns))
	for i, field := range fields {
		switch {
		case i < len(p.columns) && p.columns[i] != "":
			cells[p.columns[i]] = field
		case field != "":
			p.addProblem(Problem{
				Line: line, Service: cells[columnService], Value: field,
				Expected: fmt.Sprintf("no cell beyond the header's %d columns", len(p.columns)),
			})
		}
	}
	row, problems := parseRow(cells)
	for _, problem := range problems {
		problem.Line = line
		problem.Service = truncate(cells[columnService])
		p.addProblem(problem)
	}
	p.rows = append(p.rows, row)
	p.lines = append(p.lines, line)
}

func (p *csvParser) reportDuplicates() {
	first := make(map[string]int, len(p.rows))
	for i, row := range p.rows {
		line, seen := first[row.Service]
		if !seen {
			first[row.Service] = p.lines[i]
			continue
		}
		if row.Service == "" {
			continue // already reported as an invalid cell
		}
		p.addProblem(Problem{
			Line: p.lines[i], Service: row.Service, Column: columnService, Value: row.Service,
			Expected: fmt.Sprintf("each service once (also on line %d)", line),
		})
	}
}

// truncate shortens value to at most maxProblemValueBytes plus an ellipsis, cutting
// at a rune boundary.
func truncate(value string) string {
	if len(value) <= maxProblemValueBytes {
		return value
	}
	cut := maxProblemValueBytes
	for cut > 0 && !utf8.RuneStart(value[cut]) {
		cut--
	}
	return value[:cut] + "..."
}
