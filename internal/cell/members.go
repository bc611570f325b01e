package cell

import (
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/sched"
)

// AgentList is the list, kept in the store, of the agents that may hold records
// of a cell. Only the cell's owner writes it.
type AgentList struct {
	Cell uint32 `json:"cell"`
	// Generation is the owner's that wrote the list.
	Generation uint64 `json:"generation"`
	// Version rises with each change under any generation.
	Version uint64        `json:"version"`
	Agents  []ListedAgent `json:"agents"`
}

// ListedAgent is one start of an agent.
type ListedAgent struct {
	Endpoint    string `json:"endpoint"`
	Incarnation string `json:"incarnation"`
	// FailureDomain and Slots let a new owner judge what can run before the
	// agent has come to it.
	FailureDomain string `json:"domain"`
	Slots         int    `json:"slots"`
	// DepartedAt is when the agent was last without a stream for long; zero
	// while it is attached. It stays listed for as long as ids are
	// remembered, since its records may be needed.
	DepartedAt time.Time `json:"departed_at,omitzero"`
}

func (m AgentList) clone() AgentList {
	m.Agents = slices.Clone(m.Agents)
	return m
}

func (m *AgentList) index(incarnation string) int {
	return slices.IndexFunc(m.Agents, func(a ListedAgent) bool { return a.Incarnation == incarnation })
}

// initAgentList starts from the list of the previous owner: all that may hold
// records must be fenced.
func (c *Cell) initAgentList(m AgentList, now time.Time) {
	m = m.clone()
	m.Cell = c.cfg.Number
	m.Generation = c.cfg.Generation
	m.Version++
	m.Agents = slices.DeleteFunc(m.Agents, func(a ListedAgent) bool { return c.memberExpired(a, now) })
	for _, a := range m.Agents {
		c.recordGaps[a.Incarnation] = c.recordGapEnd(a, now)
		c.sched.SetEndpoint(now, sched.Endpoint{
			Name:          a.Endpoint,
			FailureDomain: a.FailureDomain,
			Slots:         a.Slots,
			State:         sched.Detached,
		})
	}
	c.agentList = m
}

// recordGapEnd returns the time up to which ids may have been started at an agent
// whose records are missing. Two clocks took part: the former owner's and,
// through its bound on ids from the future, the caller's.
func (c *Cell) recordGapEnd(a ListedAgent, now time.Time) time.Time {
	last := now
	if !a.DepartedAt.IsZero() {
		last = a.DepartedAt
	}
	return last.Add(2 * c.cfg.ClockSkew)
}

func (c *Cell) memberExpired(a ListedAgent, now time.Time) bool {
	return !a.DepartedAt.IsZero() && now.Sub(a.DepartedAt) > c.idRetentionWithSkew()
}

// latestRecordGapEnd is the time up to which unknown ids may have been started.
func (c *Cell) latestRecordGapEnd() time.Time {
	latest := time.Time{}
	for _, t := range c.recordGaps {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

func (c *Cell) expireRecordGaps(now time.Time) {
	for id, until := range c.recordGaps {
		if now.Sub(until) > c.idRetentionWithSkew() {
			delete(c.recordGaps, id)
		}
	}
}

// AcceptOwnership tells the cell that its ownership is accepted: no older owner can
// be confirmed any more, and none acts later than the freshness limit.
func (c *Cell) AcceptOwnership(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptedAt.IsZero() {
		return
	}
	c.acceptedAt = now
	c.maybeServe(now)
	c.dispatch(now)
}

// maybeServe ends the fencing phase once every listed agent that has not
// departed has acknowledged the fence, or the old owner's time is over.
func (c *Cell) maybeServe(now time.Time) {
	if c.phase != fencing || c.acceptedAt.IsZero() {
		return
	}
	timeOver := now.Sub(c.acceptedAt) > c.cfg.Freshness
	if !timeOver && !c.allFenced() {
		return
	}
	c.phase = serving
	c.servingSince = now
	for _, a := range c.agentList.Agents {
		if _, missing := c.recordGaps[a.Incarnation]; missing {
			c.recordGaps[a.Incarnation] = c.recordGapEnd(a, now)
		}
	}
	held := c.pending
	c.pending = nil
	for _, p := range held {
		p.submission.TimeoutNs -= int64(now.Sub(p.receivedAt))
		c.submit(p.submission, p.reply, now)
		if p.cancelled {
			c.cancel(sched.Key(p.submission.GetId()), now)
		}
	}
}

func (c *Cell) allFenced() bool {
	for _, a := range c.agentList.Agents {
		_, missing := c.recordGaps[a.Incarnation]
		if missing && a.DepartedAt.IsZero() {
			return false
		}
	}
	return true
}

// AgentListToStore returns the list that the store should hold, with the
// version that MembersStored expects.
func (c *Cell) AgentListToStore(now time.Time) AgentList {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(c.agentList.Agents), func(a ListedAgent) bool { return c.memberExpired(a, now) })
	if len(kept) != len(c.agentList.Agents) {
		c.agentList.Agents = kept
		c.agentList.Version++
	}
	return c.agentList.clone()
}

// MarkAgentListStored tells the cell that the store holds this list; the agents on
// it may be used.
func (c *Cell) MarkAgentListStored(m AgentList, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.sortedEndpoints(anyEndpoint) {
		if i := m.index(e.incarnation); i >= 0 && m.Agents[i].DepartedAt.IsZero() {
			e.listed = true
			c.updateEndpoint(e, now)
		}
	}
	c.dispatch(now)
}

// addListedAgent puts an attached agent on the list.
func (c *Cell) addListedAgent(e *endpoint) {
	i := c.agentList.index(e.incarnation)
	if i >= 0 && c.agentList.Agents[i].DepartedAt.IsZero() {
		return
	}
	c.agentList.Version++
	if i >= 0 {
		c.agentList.Agents[i].DepartedAt = time.Time{}
		return
	}
	c.agentList.Agents = append(c.agentList.Agents, ListedAgent{
		Endpoint:      e.name,
		Incarnation:   e.incarnation,
		FailureDomain: e.domain,
		Slots:         e.slots,
	})
}

// markMissingDeparted gives up on listed agents that have not come back since the
// takeover. The old owner's time is over, so that nothing started there later.
func (c *Cell) markMissingDeparted(now time.Time) {
	if c.phase != serving || len(c.recordGaps) == 0 || now.Sub(c.servingSince) < c.cfg.LostAfter {
		return
	}
	for _, a := range c.agentList.Agents {
		if _, missing := c.recordGaps[a.Incarnation]; missing {
			c.markDeparted(a.Incarnation, now)
		}
	}
}

// markDeparted marks an agent as gone.
func (c *Cell) markDeparted(incarnation string, now time.Time) {
	i := c.agentList.index(incarnation)
	if i < 0 || !c.agentList.Agents[i].DepartedAt.IsZero() {
		return
	}
	c.agentList.Agents[i].DepartedAt = now.Round(0).UTC()
	c.agentList.Version++
}
