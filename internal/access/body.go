package access

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

// The default limits of one exchange with a client.
const (
	// BodyTimeout is the longest time a client may take to send its body.
	BodyTimeout = 10 * time.Second
	// WriteTimeout is the longest time a client may take to read an answer.
	WriteTimeout = 10 * time.Second
)

// BodyLimits bounds the body of a request.
type BodyLimits struct {
	MaxBytes int64
	// Timeout is how long the client may take to send the body.
	Timeout time.Duration
}

// Read reads a request's body. Its errors carry the codes TooLarge and
// Malformed; after an error the connection is closed with the answer.
func (l BodyLimits) Read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// A writer without deadlines, as tests use, only lacks the bound.
	_ = control.SetReadDeadline(time.Now().Add(l.Timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.MaxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.TooLarge, "the body may have %d bytes", l.MaxBytes)
	}
	if err != nil {
		return nil, result.Wrap(result.Malformed, err, "the body could not be read")
	}
	// The server goes on reading to notice a client that leaves; the deadline
	// must not end that.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// WriteJSON answers with v as JSON and gives a slow client WriteTimeout to
// read it.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
	process.WriteJSON(w, status, v)
}
