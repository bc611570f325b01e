package cell

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// endpoint is the owner's state of an endpoint whose agent has attached. It is
// kept while the agent has no stream.
type endpoint struct {
	name        string
	incarnation string
	domain      string
	slots       int
	// link is nil while the agent has no stream.
	link Link
	// fenced is set once the agent has acknowledged this generation on this
	// link.
	fenced bool
	// listed is set once the stored agent list contains the agent.
	listed bool
	// stamped is set once the agent was sent a stamp of this generation on this
	// link, without which it would refuse starts.
	stamped bool
	leaving bool
	// revision is the control revision that the agent has applied.
	revision   uint64
	detachedAt time.Time
	// outstanding holds the tasks that were sent and have no outcome yet.
	outstanding map[taskKey]struct{}
}

func (e *endpoint) usable() bool {
	return e.link != nil && e.fenced && e.listed && e.stamped
}

// mayStart reports whether the agent may still start a task that was sent to it
// before now. An agent that lost its stream after it had announced that it is
// leaving starts none.
func (e *endpoint) mayStart(now time.Time, freshness time.Duration) bool {
	if e.link != nil {
		return true
	}
	return !e.leaving && now.Sub(e.detachedAt) < freshness
}

// updateEndpoint passes the endpoint's state to the scheduler.
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

// Attach registers a new stream of an agent and fences the agent. It does
// nothing if the stream is already attached. It returns false if a later process
// of the agent is attached, which the stream may not displace.
func (c *Cell) Attach(h *pb.Hello, link Link, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[h.GetEndpoint()]
	if c.phase == closed || (e != nil && e.link == link) {
		return true
	}
	if e != nil && e.link != nil && e.incarnation != h.GetIncarnation() && c.agentList.departed(h.GetIncarnation()) {
		return false
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
	return true
}

// replaceIncarnation handles the restart of an agent. The outcomes of the tasks
// that were sent to the previous process are unknown.
func (c *Cell) replaceIncarnation(e *endpoint, now time.Time) {
	c.markDeparted(e.incarnation, now)
	c.markTasksUnknown(e, "the agent was restarted", now)
}

// Detach removes a link. It does nothing if the agent has attached a newer one.
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

// expireDetachedEndpoints declares agents lost that have had no stream for
// LostAfter, and removes their endpoints after the retention of IDs.
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

// ExcludePause gives agents without a stream as much more time to attach as this
// process did not run. Call it before the Tick that follows the pause.
func (c *Cell) ExcludePause(pause time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		e.detachedAt = e.detachedAt.Add(pause)
		if e.detachedAt.After(now) {
			e.detachedAt = now
		}
	}
}

// mayObeyPreviousOwner reports whether an agent may still start tasks for an
// earlier owner: it has not acknowledged this generation, and the earlier owner
// may still act. That it has no stream here does not mean that it has departed.
func (c *Cell) mayObeyPreviousOwner(incarnation string) bool {
	_, missing := c.recordGaps[incarnation]
	return c.phase == fencing && missing
}

func (c *Cell) markTasksUnknown(e *endpoint, detail string, now time.Time) {
	for _, k := range e.sortedOutstanding() {
		c.handleOutcome(e, k, &pb.Outcome{Code: uint32(result.OutcomeUnknown), Detail: detail}, now)
	}
}

// HandleHeartbeat applies the control revision and the leaving state that an
// agent reports.
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

// MarkStamped records that the agent was sent a stamp of this generation.
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

// HandleFenceAck handles an agent's acknowledgement of the fence and compares
// its records with the tasks that were sent to it.
func (c *Cell) HandleFenceAck(name string, link Link, a *pb.FenceAck, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[name]
	if e == nil || e.link != link || a.GetGeneration() != c.cfg.Generation || a.GetSuperseded() {
		return
	}
	if e.fenced {
		// These records may be older than a start that was sent after the
		// first acknowledgement, which would then seem never to have arrived.
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
