package result

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Error is an error with a result code.
type Error struct {
	Code Code
	// Detail says what went wrong, in a short sentence.
	Detail string
	// Err is the cause, or nil.
	Err error
}

// Errorf returns an Error with a formatted detail.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause.
func Wrap(c Code, err error, detail string) *Error {
	return &Error{Code: c, Detail: detail, Err: err}
}

// Error returns the code, the detail and the cause as one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Detail)
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the result code of err: OK for nil, and Internal if err has no
// code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// DetailOf returns the text of err without its code, for an answer that has the
// code in another field.
func DetailOf(err error) string {
	if err == nil {
		return ""
	}
	var e *Error
	if !errors.As(err, &e) {
		return err.Error()
	}
	if e.Err == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Err.Error()
}
