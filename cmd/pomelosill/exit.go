package main

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/result"
)

// The exit statuses of the program. The description in main.go lists their
// meanings.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// usageError is an error in the command line's arguments.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// statusError sets the exit status for an answer that has already been printed.
type statusError struct{ code result.Code }

func (e *statusError) Error() string { return e.code.String() }

func newStatusError(code result.Code) error { return &statusError{code: code} }

// exitStatus returns the program's exit status for a command's error. An error
// without a result code comes from parsing the command line.
func exitStatus(err error) int {
	if err == nil {
		return exitDone
	}
	var printed *statusError
	if errors.As(err, &printed) {
		return exitStatusOfCode(printed.code)
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		return exitUsage
	}
	return exitStatusOfCode(coded.Code)
}

func exitStatusOfCode(code result.Code) int {
	switch code {
	case result.OK:
		return exitDone
	case result.EntryUnreachable:
		return exitUnreachable
	case result.CommandUnconfirmed, result.StoreAnswerLost:
		return exitUnknown
	}
	if result.Describe(code).Effect == result.EffectMayHaveRun {
		return exitUnknown
	}
	return exitRefused
}
