package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/explain"
)

// explain prints the log lines about a request, batch job or item, with the cause of its outcome.
func (s *session) explain(context.Context) error {
	parsed := s.arguments.Explain
	var log explain.Log
	for _, name := range parsed.Files {
		if err := s.readLog(&log, name); err != nil {
			return exitWith(ExitUsage, "%s: %v", name, err)
		}
	}
	if log.Malformed > 0 {
		fmt.Fprintf(s.streams.Err, "corkctl: %d malformed lines skipped\n", log.Malformed)
	}
	trace, err := log.Find(parsed.ID)
	if errors.Is(err, explain.ErrUnknown) {
		return exitWith(ExitFailed, "%q was found in none of the %d log lines", parsed.ID, len(log.Lines))
	}
	if err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(trace)
		return nil
	}
	printTrace(s.streams.Out, trace)
	return nil
}

func (s *session) readLog(log *explain.Log, name string) error {
	if name == "-" {
		return log.Read(s.streams.In)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open the log file")
	}
	defer file.Close()
	return log.Read(file)
}

func printTrace(w io.Writer, trace explain.Trace) {
	start := trace.Lines[0].Time
	fmt.Fprintf(w, "%s: %s\n\nlog lines (ms since the first):\n", trace.ID, trace.Cause)
	printLines(w, trace.Lines, start)
	if len(trace.Context) > 0 {
		fmt.Fprintln(w, "\nstate changes of the nodes and engines involved:")
		printLines(w, trace.Context, start)
	}
}

func printLines(w io.Writer, lines []explain.Line, start int64) {
	for _, line := range lines {
		// Fields decoded from JSON can always be encoded.
		fields, _ := json.Marshal(line.Fields)
		fmt.Fprintf(w, "%8d  %-22s %-24s %s\n", line.Time-start, line.Node, line.Message, fields)
	}
}
