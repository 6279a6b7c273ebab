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

// explain prints the way of a request, batch job or item through the nodes.
func (s *session) explain(context.Context) error {
	parsed := s.arguments.Explain
	var log explain.Log
	for _, name := range parsed.Files {
		if err := s.readLog(&log, name); err != nil {
			return exitWith(ExitUsage, "%s: %v", name, err)
		}
	}
	if log.Malformed > 0 {
		fmt.Fprintf(s.streams.Err, "corkctl: %d torn lines passed over\n", log.Malformed)
	}
	way, err := log.Find(parsed.ID)
	if errors.Is(err, explain.ErrUnknown) {
		return exitWith(ExitFailed, "%q stands in none of the %d log lines", parsed.ID, len(log.Lines))
	}
	if err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(way)
		return nil
	}
	printWay(s.streams.Out, way)
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

func printWay(w io.Writer, way explain.Trace) {
	start := way.Lines[0].Time
	fmt.Fprintf(w, "%s: %s\n\nits lines (ms from its first):\n", way.ID, way.Cause)
	printLines(w, way.Lines, start)
	if len(way.Context) > 0 {
		fmt.Fprintln(w, "\nwhat changed meanwhile at the nodes and engines concerned:")
		printLines(w, way.Context, start)
	}
}

func printLines(w io.Writer, lines []explain.Line, start int64) {
	for _, line := range lines {
		// A map of decoded JSON always encodes.
		fields, _ := json.Marshal(line.Fields)
		fmt.Fprintf(w, "%8d  %-22s %-24s %s\n", line.Time-start, line.Node, line.Message, fields)
	}
}
