package entry

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// pendingSubmission is a submission without an answer. Its fields are guarded by
// its shard's lock.
type pendingSubmission struct {
	submission *pb.Submission
	key        sched.Key
	deadline   time.Time
	cancelled  bool
	// sentTo is the owner that it was last sent to. It is zero while the
	// submission is to be sent again.
	sentTo   ownerRef
	everSent bool
	// copies counts, by owner, the copies sent.
	copies  []ownerCopies
	waiters []chan *pb.Answer
}

// ownerRef identifies an owner of a cell under a generation.
type ownerRef struct {
	id         string
	generation uint64
	// stream is the stream that the submission was sent on, nil for a local
	// cell.
	stream *ownerStream
}

// ownerCopies counts the copies of one submission that were sent to one owner.
// There may be several if the owner lost the cell and got it back, or if its
// stream broke. If it refuses one copy, another may still run.
type ownerCopies struct {
	owner string
	// unanswered is the number of copies without an answer.
	unanswered int
	// streamBroken is set when a stream broke with unanswered copies on it,
	// which the owner may still read.
	streamBroken bool
}

// copiesAt returns the copies at an owner, creating the record if there is none.
func (j *pendingSubmission) copiesAt(owner string) *ownerCopies {
	for i := range j.copies {
		if j.copies[i].owner == owner {
			return &j.copies[i]
		}
	}
	j.copies = append(j.copies, ownerCopies{owner: owner})
	return &j.copies[len(j.copies)-1]
}

// recordSent records that a copy was sent to an owner.
func (j *pendingSubmission) recordSent(to ownerRef) {
	j.sentTo, j.everSent = to, true
	j.copiesAt(to.id).unanswered++
}

// allowResend clears sentTo, so that the submission is sent again, if the owner
// that answered has no other copy.
func (j *pendingSubmission) allowResend(from ownerRef, c *ownerCopies) {
	if j.sentTo.id == from.id && j.sentTo.stream == from.stream && c.unanswered == 0 {
		j.sentTo = ownerRef{}
	}
}
