package main

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/result"
)

// The exit statuses.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnknown     = 3
	exitUnreachable = 4
)

// usageError is a mistake on the command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// statusError gives an exit status to an answer that has been printed.
type statusError struct{ code result.Code }

func (e *statusError) Error() string { return e.code.String() }

func newStatusError(code result.Code) error { return &statusError{code: code} }

// exitStatus turns a command's error into the program's exit status. An error
// without a code comes from the reading of the command line.
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
