package access

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

// The default time limits for one request.
const (
	// BodyTimeout is the longest time that a client may take to send its body.
	BodyTimeout = 10 * time.Second
	// WriteTimeout is the longest time that a client may take to read the
	// response.
	WriteTimeout = 10 * time.Second
)

// BodyLimits limits the size and the duration of a request's body.
type BodyLimits struct {
	MaxBytes int64
	// Timeout is how long the client may take to send the body.
	Timeout time.Duration
}

// Read reads a request's body. Its errors have the code TooLarge or Malformed.
// After an error the server closes the connection once it has responded.
func (l BodyLimits) Read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	// A ResponseWriter without deadlines, such as a test's, has no time limit.
	_ = rc.SetReadDeadline(time.Now().Add(l.Timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.MaxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.TooLarge, "the body exceeds the limit of %d bytes", l.MaxBytes)
	}
	if err != nil {
		return nil, result.Wrap(result.Malformed, err, "the body could not be read")
	}
	// The server keeps reading in the background to detect a disconnect, so
	// remove the deadline.
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// WriteJSON responds with v as JSON. A client that takes longer than WriteTimeout
// to read it is disconnected.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
	process.WriteJSON(w, status, v)
}
