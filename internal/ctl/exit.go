package ctl

import (
	"context"
	"io/fs"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/desired/stricttoml"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/load"
)

// Exit codes of the tool.
const (
	ExitOK = 0
	// ExitFailed reports a failure without a code of its own.
	ExitFailed = 1
	// ExitUsage reports an invalid command line or file. Nothing was sent.
	ExitUsage = 2
	// ExitConflict reports a publication that conflicts with another one that
	// was accepted first.
	ExitConflict = 3
	// ExitUnavailable reports that the log service or entry does not respond, or
	// that it rejected the request and allows a retry. Nothing was run.
	ExitUnavailable = 4
	// ExitUnknown reports an operation that may or may not have taken effect.
	ExitUnknown = 5
	// ExitIncomplete reports a batch job that did not complete, or a load run
	// with truncated, wrong, missing or duplicate responses.
	ExitIncomplete = 6
)

const exitHelp = `Exit codes:
  0  done
  1  failed
  2  invalid command line or file, nothing was sent
  3  conflict: another publication was accepted first
  4  log service or entry unavailable, nothing was run
  5  outcome unknown: it may or may not have taken effect
  6  batch job incomplete, or responses truncated, wrong, missing or duplicate`

type codedError struct {
	error
	code int
}

func (e codedError) Unwrap() error { return e.error }

func withCode(code int, err error) error { return codedError{err, code} }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var coded codedError
	var invalid *stricttoml.Error
	var api *load.APIError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &invalid), errors.Is(err, fs.ErrNotExist):
		return ExitUsage
	case errors.Is(err, desired.ErrUnconfirmed), errors.Is(err, desired.ErrUndecided):
		return ExitUnknown
	case errors.As(err, &api):
		return apiCode(api)
	case errors.Is(err, commitlog.ErrNotAppended), errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	}
	return ExitFailed
}

func apiCode(e *load.APIError) int {
	switch {
	case e.Kind == errkind.Conflict, e.Kind == errkind.KeyReused:
		return ExitConflict
	case e.Outcome == errkind.Unknown:
		return ExitUnknown
	case e.RetryAfter > 0:
		return ExitUnavailable
	}
	return ExitFailed
}
