// Package explain finds in the nodes' log lines the way of one request, batch
// job or item, and what the nodes believed meanwhile.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// contextBefore and contextAfter are the milliseconds round the way within
	// which changes of belief are shown.
	contextBefore = 2000
	contextAfter  = 500
	// maxLineBytes bounds one line.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time    int64
	Node    string
	Message string
	// Fields holds all other fields.
	Fields map[string]any
}

// text returns a field as text; empty when there is none.
func (l *Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// number returns a field as a number; zero when there is none.
func (l *Line) number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}

// Log is what was read of log files.
type Log struct {
	Lines []Line
	// Torn counts lines that hold no whole log line.
	Torn int
}

// Read adds the log lines of a file. Whatever stands before a line's JSON, such
// as a time and a node's name, is passed over; lines without any are ignored.
func (l *Log) Read(source io.Reader) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 || !bytes.Contains(scanner.Bytes(), []byte(`"node"`)) {
			continue
		}
		line, err := parse(scanner.Bytes()[start:])
		if err != nil {
			l.Torn++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read the log lines")
	}
	return nil
}

func parse(raw []byte) (Line, error) {
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return Line{}, errors.Wrap(err, "parse the line")
	}
	line := Line{Fields: fields}
	line.Time = int64(line.number("time"))
	line.Node, line.Message = line.text("node"), line.text("message")
	if line.Message == "" || line.Time == 0 {
		return Line{}, errors.New("no message or no time")
	}
	for _, name := range []string{"time", "node", "message", "level", "zone"} {
		delete(fields, name)
	}
	return line, nil
}

// beliefs are the messages that tell what a process believes of the others.
var beliefs = map[string]bool{
	"configuration in force": true, "version named": true, "engine gone": true, "leadership gained": true,
	"leadership lost": true, "topic contact changed": true, "way to the log changed": true,
	"index partition out of reach": true, "index partition in reach": true, "node started": true,
	"node stopping": true, "weights ordered": true, "results not recorded": true, "lease not renewed": true,
	"zone evacuated": true, "zone taken back": true, "items wait for evacuated zones": true,
	"sending on after a standstill": true,
	"engine started again":          true,
}

// Way is the way of one request, job or item.
type Way struct {
	ID string
	// Lines are its own lines, Context what changed round them, both in order.
	Lines   []Line
	Context []Line
	// Cause says in a sentence how it ended and why.
	Cause string
}

// ErrUnknown is returned when no line names the ID.
var ErrUnknown = errors.New("no line names this ID")

// Find returns the way of an ID: a request's, an item's or a batch job's, the number of a
// window of use, or a service whose engines were ordered.
func (l *Log) Find(id string) (Way, error) {
	way := Way{ID: id}
	jobs, engines, nodes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range l.Lines {
		if !line.names(id) {
			continue
		}
		way.Lines = append(way.Lines, line)
		jobs[line.text("job")] = true
		engines[line.text("engine")] = true
		nodes[line.Node] = true
	}
	if len(way.Lines) == 0 {
		return Way{}, errors.Wrap(ErrUnknown, id)
	}
	delete(jobs, "")
	delete(engines, "")
	l.addJobLines(&way, id, jobs)
	sortLines(way.Lines)
	first, last := way.Lines[0].Time, way.Lines[len(way.Lines)-1].Time
	for _, line := range l.Lines {
		near := line.Time >= first-contextBefore && line.Time <= last+contextAfter
		concerns := nodes[line.Node] || engines[line.text("engine")] || engines[line.text("ended")]
		if near && concerns && beliefs[line.Message] {
			way.Context = append(way.Context, line)
		}
	}
	sortLines(way.Context)
	way.Cause = cause(&way)
	return way, nil
}

// addJobLines adds to an item's way the lines of its jobs that name no item.
func (l *Log) addJobLines(way *Way, id string, jobs map[string]bool) {
	for _, line := range l.Lines {
		if jobs[line.text("job")] && line.text("item") == "" && !isJobID(line.text("job"), id) {
			way.Lines = append(way.Lines, line)
		}
	}
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.Time - b.Time) })
}

// last returns the last line with the message; nil when there is none.
func (w *Way) last(message string) *Line {
	for i := len(w.Lines) - 1; i >= 0; i-- {
		if w.Lines[i].Message == message {
			return &w.Lines[i]
		}
	}
	return nil
}

func (w *Way) count(message string) int {
	count := 0
	for _, line := range w.Lines {
		if line.Message == message {
			count++
		}
	}
	return count
}

// contextNotes returns the messages of the context, each once, that may explain
// a failure or a delay.
func (w *Way) contextNotes() string {
	var notes []string
	for _, line := range w.Context {
		note := ""
		switch line.Message {
		case "topic contact changed":
			if reachable, _ := line.Fields["reachable"].(bool); !reachable {
				note = "the log was out of reach of " + line.Node
			}
		case "index partition out of reach", "results not recorded", "lease not renewed":
			note = "the log did not answer " + line.Node
		case "engine gone":
			note = "engine " + line.text("engine") + " went"
		case "zone evacuated":
			note = "zone " + line.text("engine_zone") + " was evacuated"
		case "zone taken back":
			note = "zone " + line.text("engine_zone") + " was taken back"
		case "items wait for evacuated zones":
			note = "no engine of " + line.text("service") + " was left outside evacuated zones"
		case "sending on after a standstill":
			note = line.Node + " had stood still"
		case "engine started again":
			note = "engine " + line.text("ended") + " ended and started again"
		case "leadership gained":
			note = line.Node + " became the leader"
			if homes := line.text("homes"); isBound(homes) {
				note = line.Node + " began to run the jobs bound to " + homes
			}
		case "node started":
			note = line.Node + " had just started"
		case "node stopping":
			note = line.Node + " was stopping"
		}
		if note != "" && !slices.Contains(notes, note) {
			notes = append(notes, note)
		}
	}
	if len(notes) == 0 {
		return ""
	}
	return " Meanwhile: " + strings.Join(notes, "; ") + "."
}
