package ctl

import (
	"context"
	"io"
	"net/url"
	"os"
	"strconv"

	"github.com/corkpulley/corkpulley/internal/api"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/operatorapi"
)

// standardInput is the file name that means Streams.In.
const standardInput = "-"

// maxFileBytes bounds the size of a table file.
const maxFileBytes = 1 << 20

// checkResult is the JSON output of "table check".
type checkResult struct {
	Rows     int              `json:"rows"`
	Problems []policy.Problem `json:"problems"`
}

// diffResult is the JSON output of "table diff".
type diffResult struct {
	Revision int64              `json:"revision"`
	Changes  []policy.RowChange `json:"changes"`
}

func (s *session) tableCheck(context.Context) error {
	file := s.arguments.Table.Check.File
	text, err := s.readFile(file)
	if err != nil {
		return err
	}
	rows, problems := policy.ParseCSV(text)
	if s.arguments.JSON {
		s.printJSON(checkResult{Rows: len(rows), Problems: append([]policy.Problem{}, problems...)})
	} else {
		printProblems(s.streams.Out, file, problems)
	}
	if len(problems) > 0 {
		return exitWith(ExitInvalid, "%s has mistakes: %d", file, len(problems))
	}
	s.notice("%s is a valid table, rows: %d", file, len(rows))
	return nil
}

func (s *session) tableDiff(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	text, rows, err := s.readTable(s.arguments.Table.Diff.File)
	if err != nil {
		return err
	}
	current, err := s.fetchTable(ctx, nil)
	if err != nil {
		return err
	}
	if base, found := policy.ParseRevisionComment(text); found && base != current.Revision {
		s.notice("the file is based on revision %d, revision %d is in force", base, current.Revision)
	}
	changes := policy.Diff(current.Rows, rows)
	if s.arguments.JSON {
		s.printJSON(diffResult{Revision: current.Revision, Changes: append([]policy.RowChange{}, changes...)})
		return nil
	}
	printChanges(s.streams.Out, changes)
	s.notice("rows that differ from revision %d: %d", current.Revision, len(changes))
	return nil
}

func (s *session) tableShow(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	show := s.arguments.Table.Show
	document, err := s.fetchTable(ctx, show.Revision)
	if err != nil {
		return err
	}
	switch {
	case s.arguments.JSON:
		s.printJSON(document)
	case show.CSV:
		s.printText(policy.FormatRevisionComment(document.Revision) + policy.FormatCSV(document.Rows))
	default:
		printRows(s.streams.Out, document.Rows)
		s.notice("revision %d, rows: %d", document.Revision, len(document.Rows))
	}
	return nil
}

func (s *session) tableHistory(ctx context.Context) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	query := url.Values{}
	query.Set(operatorapi.QueryLimit, strconv.Itoa(s.arguments.Table.History.Limit))
	var entries []api.HistoryEntry
	if err := s.client.get(ctx, operatorapi.PathHistory, query, &entries); err != nil {
		return err
	}
	if s.arguments.JSON {
		s.printJSON(entries)
		return nil
	}
	printHistory(s.streams.Out, entries)
	return nil
}

// fetchTable reads the given revision of the table, or the one in force if revision is nil.
func (s *session) fetchTable(ctx context.Context, revision *int64) (api.TableDocument, error) {
	query := url.Values{}
	if revision != nil {
		query.Set(operatorapi.QueryRevision, strconv.FormatInt(*revision, 10))
	}
	var document api.TableDocument
	err := s.client.get(ctx, operatorapi.PathTable, query, &document)
	return document, err
}

// readTable reads and parses a table file. It prints the problems of an invalid table.
func (s *session) readTable(file string) (text string, rows []policy.Row, err error) {
	text, err = s.readFile(file)
	if err != nil {
		return "", nil, err
	}
	rows, problems := policy.ParseCSV(text)
	if len(problems) == 0 {
		return text, rows, nil
	}
	if s.arguments.JSON {
		s.printJSON(checkResult{Problems: problems})
	} else {
		printProblems(s.streams.Out, file, problems)
	}
	return "", nil, exitWith(ExitInvalid, "%s has mistakes: %d", file, len(problems))
}

func (s *session) readFile(file string) (string, error) {
	reader := s.streams.In
	if file != standardInput {
		opened, err := os.Open(file)
		if err != nil {
			return "", exitWith(ExitUsage, "%w", err)
		}
		defer opened.Close()
		reader = opened
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxFileBytes+1))
	if err != nil {
		return "", exitWith(ExitUsage, "read %s: %w", file, err)
	}
	if len(content) > maxFileBytes {
		return "", exitWith(ExitUsage, "%s is larger than %d bytes", file, maxFileBytes)
	}
	return string(content), nil
}
