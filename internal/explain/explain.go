// Package explain collects from the nodes' logs the lines about one request, batch job or item, together with the
// state changes of the nodes and engines involved.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/logmessage"
)

const (
	// State changes are shown from contextBeforeMs before the first line of a trace to contextAfterMs after its last.
	contextBeforeMs = 2000
	contextAfterMs  = 500
	maxLineBytes    = 1 << 20
)

// Line is a decoded log line.
type Line struct {
	Time int64 // milliseconds since the Unix epoch
	Node string
	// Message is the message as this build would log it, also if an older build logged the line.
	Message string
	// Fields holds all other fields.
	Fields map[string]any
}

// text returns a string field, or "" if it is missing.
func (l *Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// number returns a numeric field, or 0 if it is missing.
func (l *Line) number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}

// Log holds the lines read from log files.
type Log struct {
	Lines []Line
	// Malformed counts lines that cannot be decoded or lack a message or a time.
	Malformed int
}

// Read adds the log lines of a file. Text before a line's JSON, such as a time and a node's name, is skipped; lines
// without JSON or without the field "node" are ignored.
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
			l.Malformed++
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
	line.Node, line.Message = line.text("node"), logmessage.Current(line.text("message"))
	if line.Message == "" || line.Time == 0 {
		return Line{}, errors.New("log line without a message or a time")
	}
	for _, name := range []string{"time", "node", "message", "level", "zone"} {
		delete(fields, name)
	}
	return line, nil
}

// contextMessages are the messages about state changes of nodes, engines, zones and the log.
var contextMessages = map[string]bool{
	"configuration in force": true, "weight version published": true, "engine removed": true, "leadership gained": true,
	"leadership lost": true, "topic reachability changed": true, "switched between direct and relayed log calls": true,
	"index partition unreachable": true, "index partition reachable": true, "node started": true,
	"node stopping": true, "weight load ended": true, "failed to record results": true, "lease not renewed": true,
	"zone evacuated": true, "zone evacuation ended": true, "items wait: no usable engine outside evacuated zones": true,
	"sending resumed after a suspension": true,
	"engine restarted":                   true,
}

// Trace holds the log lines about one ID: a request, item, batch job, usage window or service.
type Trace struct {
	ID string
	// Lines are the lines about the ID, Context the state changes around them, both in order of time.
	Lines   []Line
	Context []Line
	// Cause describes the outcome and the reason for it.
	Cause string
}

// ErrUnknown is returned when no line contains the ID.
var ErrUnknown = errors.New("no log line contains this ID")

// Find returns the trace of an ID: that of a request, an item or a batch job, the number of a usage window, or the name
// of a service for which engines were requested from the platform. It returns ErrUnknown if no line contains the ID.
func (l *Log) Find(id string) (Trace, error) {
	trace := Trace{ID: id}
	jobs, engines, nodes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, line := range l.Lines {
		if !line.matches(id) {
			continue
		}
		trace.Lines = append(trace.Lines, line)
		jobs[line.text("job")] = true
		engines[line.text("engine")] = true
		nodes[line.Node] = true
	}
	if len(trace.Lines) == 0 {
		return Trace{}, errors.Wrap(ErrUnknown, id)
	}
	delete(jobs, "")
	delete(engines, "")
	l.addJobLines(&trace, id, jobs)
	sortLines(trace.Lines)
	first, last := trace.Lines[0].Time, trace.Lines[len(trace.Lines)-1].Time
	for _, line := range l.Lines {
		near := line.Time >= first-contextBeforeMs && line.Time <= last+contextAfterMs
		involved := nodes[line.Node] || engines[line.text("engine")] || engines[line.text("ended")]
		if near && involved && contextMessages[line.Message] {
			trace.Context = append(trace.Context, line)
		}
	}
	sortLines(trace.Context)
	trace.Cause = cause(&trace)
	return trace, nil
}

// addJobLines adds to an item's trace the lines of its jobs that belong to no item.
func (l *Log) addJobLines(trace *Trace, id string, jobs map[string]bool) {
	for _, line := range l.Lines {
		if jobs[line.text("job")] && line.text("item") == "" && !isJobID(line.text("job"), id) {
			trace.Lines = append(trace.Lines, line)
		}
	}
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.Time - b.Time) })
}

// last returns the last line with the message, or nil.
func (t *Trace) last(message string) *Line {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if t.Lines[i].Message == message {
			return &t.Lines[i]
		}
	}
	return nil
}

func (t *Trace) count(message string) int {
	count := 0
	for _, line := range t.Lines {
		if line.Message == message {
			count++
		}
	}
	return count
}

// contextNotes describes, each once, the state changes that may explain a failure or a delay.
func (t *Trace) contextNotes() string {
	var notes []string
	for _, line := range t.Context {
		note := ""
		switch line.Message {
		case "topic reachability changed":
			if reachable, _ := line.Fields["reachable"].(bool); !reachable {
				note = "the log was unreachable from " + line.Node
			}
		case "index partition unreachable", "failed to record results", "lease not renewed":
			note = "the log did not answer " + line.Node
		case "engine removed":
			note = "engine " + line.text("engine") + " disappeared"
		case "zone evacuated":
			note = "zone " + line.text("engine_zone") + " was evacuated"
		case "zone evacuation ended":
			note = "the evacuation of zone " + line.text("engine_zone") + " ended"
		case "items wait: no usable engine outside evacuated zones":
			note = "no engine of " + line.text("service") + " was left outside evacuated zones"
		case "sending resumed after a suspension":
			note = line.Node + " had been paused"
		case "engine restarted":
			note = "engine " + line.text("ended") + " restarted"
		case "leadership gained":
			note = line.Node + " became the leader"
			if homes := line.text("homes"); isBoundToRegions(homes) {
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
