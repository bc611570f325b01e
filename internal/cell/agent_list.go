package cell

import (
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/sched"
)

// AgentList lists the agents that may hold records of a cell. It is kept in the
// store, and only the cell's owner writes it.
type AgentList struct {
	Cell uint32 `json:"cell"`
	// Generation is the generation of the owner that wrote the list.
	Generation uint64 `json:"generation"`
	// Version increases with every change, across generations.
	Version uint64        `json:"version"`
	Agents  []ListedAgent `json:"agents"`
}

// ListedAgent is one incarnation of an agent. An agent has a new incarnation
// after each restart.
type ListedAgent struct {
	Endpoint    string `json:"endpoint"`
	Incarnation string `json:"incarnation"`
	// FailureDomain and Slots tell a new owner what can run before the agent
	// has attached to it.
	FailureDomain string `json:"domain"`
	Slots         int    `json:"slots"`
	// DepartedAt is when the agent was marked as departed: it was restarted or
	// had no stream for LostAfter. It is zero before that. A departed agent
	// stays on the list for as long as IDs are remembered, because its records
	// may still be needed.
	DepartedAt time.Time `json:"departed_at,omitzero"`
}

// Valid reports whether the list may have been written by an owner of the cell.
func (l AgentList) Valid(cell uint32) bool {
	unnamed := func(a ListedAgent) bool { return a.Endpoint == "" || a.Incarnation == "" }
	return l.Cell == cell && l.Generation > 0 && !slices.ContainsFunc(l.Agents, unnamed)
}

func (l AgentList) clone() AgentList {
	l.Agents = slices.Clone(l.Agents)
	return l
}

func (l *AgentList) index(incarnation string) int {
	return slices.IndexFunc(l.Agents, func(a ListedAgent) bool { return a.Incarnation == incarnation })
}

// departed reports whether an incarnation is marked as departed.
func (l *AgentList) departed(incarnation string) bool {
	i := l.index(incarnation)
	return i >= 0 && !l.Agents[i].DepartedAt.IsZero()
}

// initAgentList takes over the agent list of the previous owner. Every agent on
// it may hold records and must be fenced.
func (c *Cell) initAgentList(l AgentList, now time.Time) {
	l = l.clone()
	l.Cell = c.cfg.Number
	l.Generation = c.cfg.Generation
	l.Version++
	l.Agents = slices.DeleteFunc(l.Agents, func(a ListedAgent) bool { return c.listedAgentExpired(a, now) })
	for _, a := range l.Agents {
		c.recordGaps[a.Incarnation] = c.recordGapEnd(a, now)
		c.sched.SetEndpoint(now, sched.Endpoint{
			Name:          a.Endpoint,
			FailureDomain: a.FailureDomain,
			Slots:         a.Slots,
			State:         sched.Detached,
		})
	}
	c.agentList = l
}

// recordGapEnd returns the time up to which IDs may have been started at an
// agent whose records are missing. Two clocks may be ahead: the previous
// owner's, and the caller's, because owners accept IDs that are up to ClockSkew
// in the future.
func (c *Cell) recordGapEnd(a ListedAgent, now time.Time) time.Time {
	last := now
	if !a.DepartedAt.IsZero() {
		last = a.DepartedAt
	}
	return last.Add(2 * c.cfg.ClockSkew)
}

func (c *Cell) listedAgentExpired(a ListedAgent, now time.Time) bool {
	return !a.DepartedAt.IsZero() && now.Sub(a.DepartedAt) > c.idRetentionWithSkew()
}

// latestRecordGapEnd returns the time up to which unknown IDs may have been
// started.
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

// AcceptOwnership marks this ownership as accepted: no earlier owner can be
// confirmed any more, so none acts once the freshness limit has passed.
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
// departed has acknowledged the fence, or once the previous owner can no longer
// act.
func (c *Cell) maybeServe(now time.Time) {
	if c.phase != fencing || c.acceptedAt.IsZero() {
		return
	}
	previousOwnerExpired := now.Sub(c.acceptedAt) > c.cfg.Freshness
	if !previousOwnerExpired && !c.allFenced() {
		return
	}
	c.phase = serving
	c.servingSince = now
	for _, a := range c.agentList.Agents {
		if _, missing := c.recordGaps[a.Incarnation]; missing {
			c.recordGaps[a.Incarnation] = c.recordGapEnd(a, now)
		}
	}
	pending := c.pending
	c.pending = nil
	for _, p := range pending {
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

// AgentListToStore returns the list that the store should hold. After writing
// it, the entry passes it to MarkAgentListStored.
func (c *Cell) AgentListToStore(now time.Time) AgentList {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(c.agentList.Agents), func(a ListedAgent) bool { return c.listedAgentExpired(a, now) })
	if len(kept) != len(c.agentList.Agents) {
		c.agentList.Agents = kept
		c.agentList.Version++
	}
	return c.agentList.clone()
}

// MarkAgentListStored records that the store holds the list l. The agents on it
// may get work.
func (c *Cell) MarkAgentListStored(l AgentList, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.sortedEndpoints(anyEndpoint) {
		if i := l.index(e.incarnation); i >= 0 && l.Agents[i].DepartedAt.IsZero() {
			e.listed = true
			c.updateEndpoint(e, now)
		}
	}
	c.dispatch(now)
}

// addListedAgent adds an attached agent to the agent list.
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

// markMissingDeparted marks as departed the listed agents that have not
// acknowledged the fence within LostAfter after the cell began to serve. The
// previous owner could no longer act by then, so nothing has started at them
// since.
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

// markDeparted marks an incarnation of an agent as departed.
func (c *Cell) markDeparted(incarnation string, now time.Time) {
	i := c.agentList.index(incarnation)
	if i < 0 || !c.agentList.Agents[i].DepartedAt.IsZero() {
		return
	}
	c.agentList.Agents[i].DepartedAt = now.Round(0).UTC()
	c.agentList.Version++
}
