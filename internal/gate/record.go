package gate

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Task identifies one task of a submission.
type Task struct {
	Submission uuid.UUID
	Index      uint32
}

// idTime returns the wall clock time in the submission ID.
func (t Task) idTime() time.Time {
	return time.UnixMilli(t.idMillis())
}

// idMillis returns the first 48 bits of the submission ID, which hold its Unix
// time in milliseconds.
func (t Task) idMillis() int64 {
	return int64(binary.BigEndian.Uint64(t.Submission[:8]) >> 16)
}

// Record holds what is known of a task that was started.
type Record struct {
	Task    Task
	Running bool
	// Code is the result of an ended task. AnswerExpired replaces OK if the
	// body is no longer kept.
	Code   result.Code
	Body   []byte
	Detail string
	// RunTime is how long the endpoint took.
	RunTime time.Duration
	// Digest is the digest of the Start.
	Digest uint64
}

// record is the stored form of Record, without the task, which is its key.
type record struct {
	// answer is nil while the task runs and after the body has been dropped.
	answer  *answer
	digest  uint64
	runUS   uint32
	code    uint16
	running bool
}

// answer is the part of a record that is dropped before the rest.
type answer struct {
	body   []byte
	detail string
}

func (a *answer) bytes() int64 {
	return int64(len(a.body) + len(a.detail))
}

func (r record) export(t Task) Record {
	out := Record{
		Task:    t,
		Running: r.running,
		Code:    result.Code(r.code),
		RunTime: time.Duration(r.runUS) * time.Microsecond,
		Digest:  r.digest,
	}
	if r.answer != nil {
		out.Body = r.answer.body
		out.Detail = r.answer.detail
		return out
	}
	if !r.running && out.Code == result.OK {
		out.Code = result.AnswerExpired
	}
	return out
}
