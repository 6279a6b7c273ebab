package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/report"
	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// report writes the timeline of the nodes' log lines as a page and pictures.
func (s *session) report(context.Context) error {
	parsed := s.arguments.Report
	options, err := parsed.options()
	if err != nil {
		return err
	}
	builder := timeline.NewBuilder(options)
	for _, name := range parsed.Files {
		if err := s.addLog(builder, name); err != nil {
			return exitWith(ExitUsage, "%s: %v", name, err)
		}
	}
	built, err := builder.Timeline()
	if err != nil {
		return exitWith(ExitFailed, "%v in %s", err, strings.Join(parsed.Files, ", "))
	}
	files, err := report.Write(parsed.Out, built)
	if err != nil {
		return err
	}
	return s.printReport(report.Sum(built), files)
}

func (s *session) addLog(builder *timeline.Builder, name string) error {
	var source io.Reader = s.streams.In
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open the log file")
		}
		defer file.Close()
		source = file
	}
	return builder.Read(name, source)
}

// options returns the timeline options of the flags.
func (a *reportArguments) options() (timeline.Options, error) {
	options := timeline.Options{MinimumGap: a.Gap}
	if a.Gap <= 0 {
		return options, exitWith(ExitUsage, "--gap is %s, expected more than 0", a.Gap)
	}
	for flag, bound := range map[string]struct {
		text string
		into *time.Time
	}{"--from": {a.From, &options.From}, "--until": {a.Until, &options.Until}} {
		if bound.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, bound.text)
		if err != nil {
			return options, exitWith(ExitUsage, "%s is %q, expected a time such as 2026-11-30T05:20:00Z", flag, bound.text)
		}
		*bound.into = at
	}
	if !options.From.IsZero() && !options.Until.IsZero() && !options.From.Before(options.Until) {
		return options, exitWith(ExitUsage, "--from %s is not before --until %s", a.From, a.Until)
	}
	return options, nil
}

func (s *session) printReport(totals report.Totals, files []string) error {
	if s.arguments.JSON {
		s.printJSON(reportResult{Totals: totals, Files: files})
		return nil
	}
	if unreadable := totals.Lines.Unreadable; unreadable > 0 {
		fmt.Fprintf(s.streams.Err, "corkctl: %d of %d lines are unreadable, see the end of the page\n", unreadable, totals.Lines.Read)
	}
	fmt.Fprintf(s.streams.Out, "%d nodes, %d lines, %d gaps without progress, the longest %.3f s\n",
		totals.Nodes, totals.Lines.Read, totals.Gaps, totals.LongestGap)
	for _, file := range files {
		fmt.Fprintln(s.streams.Out, file)
	}
	return nil
}

// reportResult is the command's JSON output.
type reportResult struct {
	Totals report.Totals `json:"totals"`
	Files  []string      `json:"files"`
}
