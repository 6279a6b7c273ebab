package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/policy"
)

// printJSON writes the result as indented JSON to the output stream.
func (s *session) printJSON(result any) {
	encoder := json.NewEncoder(s.streams.Out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result)
}

func (s *session) printText(text string) { _, _ = io.WriteString(s.streams.Out, text) }

// notice prints an informational line to the error stream.
func (s *session) notice(format string, arguments ...any) {
	fmt.Fprintf(s.streams.Err, format+"\n", arguments...)
}

// reportError prints an error, with the problems and conflicting rows of the server's response.
func (s *session) reportError(err error) {
	s.notice("corkctl: %v", err)
	var known *exitError
	if !errors.As(err, &known) || known.detail == nil {
		return
	}
	if s.arguments.JSON {
		s.printJSON(api.ErrorBody{Error: *known.detail})
		return
	}
	printProblems(s.streams.Out, "table", known.detail.Problems)
	if len(known.detail.Conflicts) > 0 {
		s.notice("changed by others:")
		printChanges(s.streams.Out, known.detail.Conflicts)
	}
}

// textTable prints rows of cells in aligned columns.
type textTable struct {
	writer *tabwriter.Writer
}

func newTextTable(w io.Writer, header ...string) *textTable {
	const minimumWidth, tabWidth, padding = 0, 8, 2
	table := &textTable{writer: tabwriter.NewWriter(w, minimumWidth, tabWidth, padding, ' ', 0)}
	table.add(header...)
	return table
}

func (t *textTable) add(cells ...string) {
	var printable []string
	for _, cell := range cells {
		printable = append(printable, escapeControls(cell))
	}
	fmt.Fprintln(t.writer, strings.Join(printable, "\t"))
}

// escapeControls replaces control characters with Go escapes, as cells may hold untrusted text with terminal escape
// sequences.
func escapeControls(text string) string {
	if strings.IndexFunc(text, unicode.IsControl) < 0 {
		return text
	}
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}

func (t *textTable) flush() { _ = t.writer.Flush() }

func printProblems(w io.Writer, file string, problems []policy.Problem) {
	for _, problem := range problems {
		fmt.Fprintf(w, "%s:%d: ", file, problem.Line)
		if problem.Service != "" {
			fmt.Fprintf(w, "service %s: ", problem.Service)
		}
		if problem.Column != "" {
			fmt.Fprintf(w, "%s is %q, ", problem.Column, problem.Value)
		}
		fmt.Fprintf(w, "expected %s\n", problem.Expected)
	}
}

// printChanges prints a line for each added (+), removed (-) or changed (~) row.
func printChanges(w io.Writer, changes []policy.RowChange) {
	for _, change := range changes {
		switch {
		case change.Before == nil && change.After == nil:
			fmt.Fprintf(w, "? %s\n", change.Service)
		case change.Before == nil:
			fmt.Fprintf(w, "+ %s: %s\n", change.Service, strings.Join(change.After.Cells(), ","))
		case change.After == nil:
			fmt.Fprintf(w, "- %s: %s\n", change.Service, strings.Join(change.Before.Cells(), ","))
		default:
			fmt.Fprintf(w, "~ %s: %s\n", change.Service, describeChange(*change.Before, *change.After))
		}
	}
}

func describeChange(before, after policy.Row) string {
	old, current := before.Cells(), after.Cells()
	var cells []string
	for i, column := range policy.Columns {
		if old[i] != current[i] {
			cells = append(cells, fmt.Sprintf("%s %s -> %s", column, old[i], current[i]))
		}
	}
	return strings.Join(cells, ", ")
}

func printRows(w io.Writer, rows []policy.Row) {
	table := newTextTable(w, upperCased(policy.Columns)...)
	for _, row := range rows {
		table.add(row.Cells()...)
	}
	table.flush()
}

func upperCased(names []string) []string {
	var headers []string
	for _, name := range names {
		headers = append(headers, strings.ToUpper(name))
	}
	return headers
}

func printHistory(w io.Writer, entries []api.HistoryEntry) {
	table := newTextTable(w, "REVISION", "BASE", "TIME", "OPERATOR", "CHANGES")
	for _, entry := range entries {
		table.add(formatNumber(entry.Revision), formatNumber(entry.Base),
			time.UnixMilli(entry.UnixMS).UTC().Format(time.RFC3339), entry.Operator, summarizeChanges(entry.Changes))
	}
	table.flush()
}

// summarizeChanges lists the changed rows on one line.
func summarizeChanges(changes []policy.RowChange) string {
	var names []string
	for _, change := range changes {
		switch {
		case change.Before == nil:
			names = append(names, "+"+change.Service)
		case change.After == nil:
			names = append(names, "-"+change.Service)
		default:
			names = append(names, "~"+change.Service+"("+strings.Join(change.Columns, ",")+")")
		}
	}
	return strings.Join(names, " ")
}

func printStatus(w io.Writer, status api.Status) {
	table := newTextTable(w, "NODE", "ZONE", "READY", "REVISION", "LOG")
	ready := "yes"
	if !status.Ready {
		ready = "no: " + status.NotReadyCause
	}
	reachable := "reachable"
	if !status.LogReachable {
		reachable = "unreachable"
	}
	table.add(status.Node.ID, status.Node.Zone, ready, formatNumber(status.TableRevision), reachable)
	table.flush()
	fmt.Fprintln(w)
	printNodes(w, status.Members)
	fmt.Fprintln(w)
	printCells(w, status.Cells)
	fmt.Fprintln(w)
	printSteps(w, status.Steps)
}

func printNodes(w io.Writer, nodes []api.NodeStatus) {
	table := newTextTable(w, "NODE", "ZONE", "ADDRESS", "STATE", "REVISION", "OWNS")
	for _, node := range nodes {
		var owned []string
		for _, stream := range node.Owned {
			owned = append(owned, fmt.Sprintf("%s@%d", stream.Stream, stream.Epoch))
		}
		table.add(node.ID, node.Zone, node.Address, node.State,
			formatNumber(node.TableRevision), strings.Join(owned, " "))
	}
	table.flush()
}

func printCells(w io.Writer, cells []api.CellStatus) {
	table := newTextTable(w, "CELL", "DISPATCHER", "ENGINES", "SLOTS", "RUNNING", "QUEUED")
	for _, cell := range cells {
		table.add(fmt.Sprintf("%s/%s/%d", cell.Zone, cell.Pool, cell.Index), cell.Node,
			strconv.Itoa(cell.Engines), strconv.Itoa(cell.Slots),
			strconv.Itoa(cell.Running), strconv.Itoa(cell.Queued))
	}
	table.flush()
}

func printEngines(w io.Writer, engines []api.EngineStatus) {
	table := newTextTable(w, "ENGINE", "ZONE", "POOL", "ADDRESS", "STATE", "IN FLIGHT", "DISPATCHER", "MODELS")
	for _, engine := range engines {
		var models []string
		for _, model := range slices.Sorted(maps.Keys(engine.Models)) {
			models = append(models, fmt.Sprintf("%s@%d", model, engine.Models[model]))
		}
		table.add(engine.ID, engine.Zone, engine.Pool, engine.Address, engine.State,
			strconv.Itoa(engine.InFlight), engine.Node, strings.Join(models, " "))
	}
	table.flush()
}

func printSteps(w io.Writer, steps []api.StepStatus) {
	table := newTextTable(w, "TRAINER", "STEP", "WANTED", "OPEN", "FILLED", "ACKNOWLEDGED", "DISCARDED", "STATE", "OWNER", "EPOCH")
	for _, step := range steps {
		table.add(step.Trainer, step.Step, strconv.Itoa(step.Wanted), strconv.Itoa(step.Open),
			strconv.Itoa(step.Filled), strconv.Itoa(step.Acknowledged), strconv.Itoa(step.Discarded),
			stepState(step), step.Owner, formatNumber(step.Epoch))
	}
	table.flush()
}

func stepState(step api.StepStatus) string {
	switch {
	case step.Abandoned:
		return "abandoned"
	case step.Done:
		return "done"
	default:
		return "unfinished"
	}
}

func formatNumber(number int64) string { return strconv.FormatInt(number, 10) }
