// Package ctl implements corkctl, the command line for operators. It checks tables and reads log files offline and calls
// the nodes' operator interface.
package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"
)

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run runs one command, given without the program's name, and returns its exit code. Results are written to Streams.Out,
// errors and notices to Streams.Err.
func Run(ctx context.Context, commandLine []string, streams Streams) ExitCode {
	var parsed arguments
	parser, err := newParser(&parsed)
	if err != nil {
		fmt.Fprintln(streams.Err, "corkctl:", err)
		return ExitFailed
	}
	err = parser.Parse(commandLine)
	command := parser.SubcommandNames()
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(streams.Out, parser, command)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(streams.Out, parsed.Version())
		return ExitOK
	case err != nil:
		fmt.Fprintf(streams.Err, "corkctl: %v (see corkctl --help)\n", err)
		return ExitUsage
	}
	parsed.addDefaults()
	session := newSession(&parsed, streams)
	action := session.action()
	if action == nil {
		writeHelp(streams.Err, parser, command)
		return ExitUsage
	}
	if err := session.run(ctx, action); err != nil {
		session.reportError(err)
		return exitCodeOf(err)
	}
	return ExitOK
}

// session is the state of one command.
type session struct {
	arguments *arguments
	streams   Streams
	client    *client
	timeout   time.Duration
}

func newSession(parsed *arguments, streams Streams) *session {
	return &session{
		arguments: parsed,
		streams:   streams,
		timeout:   parsed.Timeout,
	}
}

// action runs a command. Its context is not bounded by the timeout yet.
type action func(ctx context.Context) error

// action returns the action of the parsed command, or nil if there is none.
func (s *session) action() action {
	parsed := s.arguments
	switch {
	case parsed.Table != nil:
		return s.tableAction(parsed.Table)
	case parsed.Status != nil:
		return s.withServers(s.status)
	case parsed.Nodes != nil:
		return s.withServers(s.nodes)
	case parsed.Engines != nil:
		return s.withServers(s.engines)
	case parsed.Steps != nil:
		return s.withServers(s.steps)
	case parsed.Drain != nil:
		return s.withServers(s.drain)
	case parsed.Zones != nil:
		return s.withServers(s.zones)
	case parsed.Evacuate != nil:
		return s.withServers(s.evacuate)
	case parsed.TakeBack != nil:
		return s.withServers(s.takeBack)
	case parsed.Explain != nil:
		return s.explain
	case parsed.Report != nil:
		return s.report
	default:
		return nil
	}
}

func (s *session) tableAction(table *tableArguments) action {
	switch {
	case table.Check != nil:
		return s.tableCheck
	case table.Diff != nil:
		return s.withServers(s.tableDiff)
	case table.Apply != nil:
		return s.withServers(s.tableApply)
	case table.Show != nil:
		return s.withServers(s.tableShow)
	case table.History != nil:
		return s.withServers(s.tableHistory)
	default:
		return nil
	}
}

func (s *session) run(ctx context.Context, action action) error {
	if s.timeout <= 0 {
		return exitWith(ExitUsage, "--timeout is %s, expected more than 0", s.timeout)
	}
	return action(ctx)
}

// withServers wraps an action that calls servers: it creates the client for the servers of the command line first.
func (s *session) withServers(next action) action {
	return func(ctx context.Context) error {
		servers, err := parseServers(s.arguments.Server)
		if err != nil {
			return err
		}
		s.client = newClient(servers)
		return next(ctx)
	}
}

// withTimeout returns ctx bounded by the timeout of the command line.
func (s *session) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.timeout)
}
