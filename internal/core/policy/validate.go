package policy

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
)

// Limits of a table. They bound the size of a proposal record.
const (
	// MaxRows bounds the rows of a table.
	MaxRows = 2000
	// MaxZones bounds the zones that one row lists.
	MaxZones = 32
	// MaxNameBytes bounds the lengths of pool, model and zone names.
	MaxNameBytes = 63
)

// Inclusive ranges of the numeric columns.
const (
	MaxPriority  = 9
	MinShare     = 1
	MaxShare     = 1000
	MaxStaleness = 1000
	MaxCap       = 1_000_000
	MaxFloor     = 100
)

var (
	servicePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$`)
)

const expectedName = "letters, digits, '.', '_' and '-', at most 63, a letter or digit first"

// expectedCell describes the valid cells of each column, for Problem.Expected.
var expectedCell = map[string]string{
	columnService:    "lower-case letters, digits and inner '-', at most 63",
	columnKind:       "live or trainer",
	columnPool:       expectedName,
	columnModel:      expectedName,
	columnVersion:    "latest, or a version of 1 or more",
	columnPriority:   "a number from 0 to 9",
	columnShare:      "a number from 1 to 1000",
	columnStaleness:  "a number from 0 to 1000 (a live service may have '-': no bound)",
	columnCap:        "a number from 1 to 1000000, or '-': no cap",
	columnRepeatable: "yes or no (a trainer's requests are repeatable: yes)",
	columnZones:      "'*', or different zones separated by ';', home first",
	columnFloor:      "a number from 0 to 100 (percent)",
}

// Validate returns the problems of a table, at most MaxProblems, in row order.
// Problem.Line is the row's line in the output of FormatCSV.
//
// Every replica of the config stream's reducer runs it, so a change to these rules
// is a change to the stream format.
func Validate(rows []Row) []Problem {
	if len(rows) > MaxRows {
		return []Problem{{Line: MaxRows + 2, Expected: fmt.Sprintf("at most %d rows", MaxRows)}}
	}
	var problems []Problem
	seen := make(map[string]bool, len(rows))
	for i, row := range rows {
		found := validateRow(row)
		if seen[row.Service] {
			found = append(found, Problem{Column: columnService, Value: row.Service, Expected: "each service once"})
		}
		seen[row.Service] = true
		for _, problem := range found {
			problem.Line = i + 2
			problem.Service = truncate(row.Service)
			problem.Value = truncate(problem.Value)
			problems = append(problems, problem)
		}
		if len(problems) >= MaxProblems {
			return problems[:MaxProblems]
		}
	}
	return problems
}

// validateRow validates a single row. It leaves Problem.Line and Service empty.
func validateRow(row Row) []Problem {
	var problems []Problem
	check := func(valid bool, column, value string) {
		if !valid {
			problems = append(problems, Problem{Column: column, Value: value, Expected: expectedCell[column]})
		}
	}
	checkRange := func(value, low, high int, column string) {
		check(value >= low && value <= high, column, strconv.Itoa(value))
	}
	check(servicePattern.MatchString(row.Service), columnService, row.Service)
	check(row.Kind == KindLive || row.Kind == KindTrainer, columnKind, string(row.Kind))
	check(namePattern.MatchString(row.Pool), columnPool, row.Pool)
	check(namePattern.MatchString(row.Model), columnModel, row.Model)
	checkRange(row.Priority, 0, MaxPriority, columnPriority)
	checkRange(row.Share, MinShare, MaxShare, columnShare)
	checkRange(row.Staleness, minStaleness(row.Kind), MaxStaleness, columnStaleness)
	checkRange(row.Cap, uncapped, MaxCap, columnCap)
	// Discarded or lost samples are generated again.
	check(row.Repeatable || row.Kind != KindTrainer, columnRepeatable, formatYesOrNo(row.Repeatable))
	check(validZones(row.Zones), columnZones, formatZones(row.Zones))
	checkRange(row.Floor, 0, MaxFloor, columnFloor)
	return problems
}

// minStaleness returns the lowest valid staleness; only live services may be
// unbounded.
func minStaleness(kind ServiceKind) int {
	if kind == KindLive {
		return unboundedStaleness
	}
	return 0
}

func validZones(zones []string) bool {
	if len(zones) > MaxZones {
		return false
	}
	for i, zone := range zones {
		if !namePattern.MatchString(zone) || slices.Contains(zones[:i], zone) {
			return false
		}
	}
	return true
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Service, b.Service) })
}
