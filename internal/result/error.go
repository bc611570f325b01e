package result

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Error is an error with a result code.
type Error struct {
	Code Code
	// Detail says what was wrong, in a short sentence.
	Detail string
	// Err is the cause, or nil.
	Err error
}

// Errorf makes an Error with a formatted detail.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap makes an Error with a cause.
func Wrap(c Code, err error, detail string) *Error {
	return &Error{Code: c, Detail: detail, Err: err}
}

// Error gives the code, the detail and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Detail)
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns err's result code, OK for nil and Internal where it has
// none.
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

// DetailOf returns what err says beside its code, for an answer that shows
// the code in a field of its own.
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
