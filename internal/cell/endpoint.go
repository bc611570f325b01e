package cell

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// endpoint is an agent that announced itself, attached or not.
type endpoint struct {
	name        string
	incarnation string
	domain      string
	slots       int
	// link is nil while the agent has no stream.
	link Link
	// fenced tells that the agent acknowledged this generation on this link.
	fenced bool
	// listed tells that the store holds the agent on the member list.
	listed bool
	// stamped tells that the agent was stamped under this generation on this
	// link, so that it may start work.
	stamped bool
	leaving bool
	// revision is the control revision that the agent has applied.
	revision   uint64
	detachedAt time.Time
	// outstanding are the tasks that were sent and have no outcome yet.
	outstanding map[taskKey]struct{}
}

func (e *endpoint) usable() bool {
	return e.link != nil && e.fenced && e.listed && e.stamped
}

// mayStart tells whether the agent could start a task that was sent to it
// before now. One that said that it leaves starts nothing.
func (e *endpoint) mayStart(now time.Time, freshness time.Duration) bool {
	if e.link != nil {
		return true
	}
	return !e.leaving && now.Sub(e.detachedAt) < freshness
}

// updateEndpoint tells the scheduler the endpoint's state.
func (c *Cell) updateEndpoint(e *endpoint, now time.Time) {
	state := sched.InService
	switch {
	case !e.usable():
		state = sched.Detached
	case e.leaving:
		state = sched.Leaving
	case !c.control.Config.InService(e.name, e.domain):
		state = sched.OutOfService
	}
	c.sched.SetEndpoint(now, sched.Endpoint{Name: e.name, FailureDomain: e.domain, Slots: e.slots, State: state})
}

// Attach takes an agent's new stream and fences it. It does nothing if the
// stream is attached already.
func (c *Cell) Attach(h *pb.Hello, link Link, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[h.GetEndpoint()]
	if c.phase == closed || (e != nil && e.link == link) {
		return
	}
	if e == nil {
		e = &endpoint{name: h.GetEndpoint(), outstanding: map[taskKey]struct{}{}}
		c.endpoints[e.name] = e
	}
	if e.incarnation != "" && e.incarnation != h.GetIncarnation() {
		c.replaceIncarnation(e, now)
	}
	e.incarnation = h.GetIncarnation()
	e.domain = h.GetFailureDomain()
	e.slots = int(h.GetSlots())
	e.link = link
	e.fenced, e.listed, e.stamped, e.leaving = false, false, false, false
	c.updateEndpoint(e, now)
	link.Fence(&pb.Fence{Cell: c.cfg.Number, Generation: c.cfg.Generation})
}

// replaceIncarnation gives up on a process that has been replaced: the
// outcomes of what was sent to it are unknown.
func (c *Cell) replaceIncarnation(e *endpoint, now time.Time) {
	c.markDeparted(e.incarnation, now)
	c.markTasksUnknown(e, "the agent was restarted", now)
}

// Detach ends a link; it does nothing if the agent has a newer one.
func (c *Cell) Detach(name string, link Link, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[name]
	if e == nil || e.link != link {
		return
	}
	e.link = nil
	e.fenced, e.listed, e.stamped = false, false, false
	e.detachedAt = now
	c.updateEndpoint(e, now)
}

// expireDetachedEndpoints gives up on agents that have been without a stream for long.
func (c *Cell) expireDetachedEndpoints(now time.Time) {
	lost := func(e *endpoint) bool { return e.link == nil && now.Sub(e.detachedAt) >= c.cfg.LostAfter }
	for _, e := range c.sortedEndpoints(lost) {
		if !c.mayObeyPreviousOwner(e.incarnation) {
			c.markDeparted(e.incarnation, now)
		}
		c.markTasksUnknown(e, "the agent was lost", now)
		if now.Sub(e.detachedAt) > c.idRetentionWithSkew() {
			delete(c.endpoints, e.name)
			c.sched.RemoveEndpoint(now, e.name)
		}
	}
}

// mayObeyPreviousOwner tells whether an agent may still start work for an earlier
// owner: it has not acknowledged this generation and that owner's time is not
// over. That it has no stream here does not mean that it has departed.
func (c *Cell) mayObeyPreviousOwner(incarnation string) bool {
	_, missing := c.recordGaps[incarnation]
	return c.phase == fencing && missing
}

func (c *Cell) markTasksUnknown(e *endpoint, why string, now time.Time) {
	for _, k := range e.sortedOutstanding() {
		c.handleOutcome(e, k, &pb.Outcome{Code: uint32(result.OutcomeUnknown), Detail: why}, now)
	}
}

// HandleHeartbeat notes what an agent says of itself.
func (c *Cell) HandleHeartbeat(name string, link Link, h *pb.Heartbeat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[name]
	if e == nil || e.link != link {
		return
	}
	e.revision = max(e.revision, h.GetControlRevision())
	if e.leaving != h.GetLeaving() {
		e.leaving = h.GetLeaving()
		c.updateEndpoint(e, now)
	}
}

// MarkStamped notes that a stamp under this generation went to the agent.
func (c *Cell) MarkStamped(name string, link Link, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[name]
	if e == nil || e.link != link || !e.fenced || e.stamped {
		return
	}
	e.stamped = true
	c.updateEndpoint(e, now)
	c.dispatch(now)
}

// HandleFenceAck takes an agent's promise and its records.
func (c *Cell) HandleFenceAck(name string, link Link, a *pb.FenceAck, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[name]
	if e == nil || e.link != link || a.GetGeneration() != c.cfg.Generation || a.GetSuperseded() {
		return
	}
	if e.fenced {
		// Records that are older than a start sent since would make it look
		// as if it had never arrived.
		return
	}
	c.reconcileRecords(e, a.GetRecords(), now)
	delete(c.recordGaps, e.incarnation)
	e.fenced = true
	c.addListedAgent(e)
	c.updateEndpoint(e, now)
	c.maybeServe(now)
	c.dispatch(now)
}
