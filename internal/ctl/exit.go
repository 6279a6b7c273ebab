package ctl

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
)

// ExitCode is the exit status of corkctl. The numbers are part of its interface.
type ExitCode int

// The exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed: refused or failed for a reason without its own code; nothing was changed.
	ExitFailed ExitCode = 1
	// ExitUsage: invalid command line or unreadable file.
	ExitUsage ExitCode = 2
	// ExitInvalid: the table is invalid.
	ExitInvalid ExitCode = 3
	// ExitConflict: the table was changed by others since the base revision.
	ExitConflict ExitCode = 4
	// ExitUnreachable: no server could be reached; nothing was changed.
	ExitUnreachable ExitCode = 5
	// ExitUnknown: the change may or may not take effect.
	ExitUnknown ExitCode = 6
	// ExitNotInForce: accepted, but not in force on every node in time.
	ExitNotInForce ExitCode = 7
)

// exitCodesHelp documents the codes in the help.
const exitCodesHelp = `Exit codes:
  0  done
  1  refused or failed; nothing was changed
  2  wrong command line, or a file that cannot be read
  3  the table has mistakes
  4  others changed the table since the base revision
  5  no server could be reached; nothing was changed
  6  outcome unknown: the change may still take effect
  7  accepted, but not in force on every node in time
`

// exitError is an error with the exit code of the command.
type exitError struct {
	code ExitCode
	err  error
	// detail is the server's error response, if any.
	detail *api.ErrorDetail
}

// Error implements the error interface.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code ExitCode, format string, arguments ...any) *exitError {
	return &exitError{code: code, err: fmt.Errorf(format, arguments...)}
}

// exitCodeOf returns the exit code of an error, ExitFailed by default.
func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var known *exitError
	if errors.As(err, &known) {
		return known.code
	}
	return ExitFailed
}
