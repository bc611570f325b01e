package cell

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// dispatch starts waiting tasks on free slots.
func (c *Cell) dispatch(now time.Time) {
	if c.phase != serving {
		return
	}
	if !c.cfg.IsFresh(now) {
		c.invalidateStamps(now)
		return
	}
	c.stampsInvalidated = false
	for {
		a, ok := c.sched.Next(now)
		if !ok {
			return
		}
		c.start(a, now)
	}
}

// invalidateStamps makes every agent wait for a new stamp before it gets work
// again. The stamps that the agents hold are as old as the confirmation that
// went out of date.
func (c *Cell) invalidateStamps(now time.Time) {
	if c.stampsInvalidated {
		return
	}
	c.stampsInvalidated = true
	for _, e := range c.endpoints {
		e.stamped = false
		c.updateEndpoint(e, now)
	}
}

func (c *Cell) start(a sched.Assignment, now time.Time) {
	j := c.jobs[a.Key]
	t := &j.tasks[a.Index]
	e := c.endpoints[a.Endpoint]
	if t.state != waiting {
		c.counters.InvariantFailures++
		return
	}
	t.state = running
	t.endpoint = e.name
	t.incarnation = e.incarnation
	j.waiting--
	j.running++
	e.outstanding[taskKey{a.Key, uint32(a.Index)}] = struct{}{}
	c.counters.StartsSent++
	e.link.Start(&pb.Start{
		Cell:       c.cfg.Number,
		Generation: c.cfg.Generation,
		Task:       &pb.TaskRef{Submission: j.key[:], Index: uint32(a.Index)},
		Team:       j.team,
		Payload:    t.payload,
		Idempotent: t.idempotent,
		TimeoutNs:  int64(j.deadline.Sub(now)),
		Digest:     j.digest,
	})
}
