package cell

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

func (c *Cell) newAnswer(id []byte, code result.Code, detail string) *pb.Answer {
	return &pb.Answer{
		Id:         id,
		Code:       uint32(code),
		Detail:     detail,
		Cell:       c.cfg.Number,
		Generation: c.cfg.Generation,
	}
}

func (c *Cell) reply(j *job, a *pb.Answer) {
	for _, r := range j.repliers {
		r(a)
	}
	j.repliers = nil
}

// encodeAnswer marshals an answer, because that form takes the least memory.
func (c *Cell) encodeAnswer(a *pb.Answer) []byte {
	data, err := proto.Marshal(a)
	if err != nil {
		c.counters.InvariantFailures++
		return nil
	}
	return data
}

// heldAnswer returns the answer of an ended job, or nil if it is no longer
// kept.
func (c *Cell) heldAnswer(j *job) *pb.Answer {
	if j.answer == nil {
		return nil
	}
	a := &pb.Answer{}
	if err := proto.Unmarshal(j.answer, a); err != nil {
		c.counters.InvariantFailures++
		return nil
	}
	return a
}

// evictAnswers drops the oldest answers until none is past the answer retention
// and the rest fits into MaxAnswerBytes.
func (c *Cell) evictAnswers(now time.Time) {
	n := 0
	for n < len(c.heldAnswers) {
		j := c.heldAnswers[n]
		if now.Sub(j.endedAt) < c.cfg.AnswerRetention && c.heldAnswerBytes <= c.cfg.MaxAnswerBytes {
			break
		}
		c.heldAnswerBytes -= int64(len(j.answer))
		j.answer = nil
		n++
	}
	c.heldAnswers = c.heldAnswers[n:]
}
