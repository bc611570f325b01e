package cell

import (
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/sched"
)

// Members is the list, kept in the store, of the agents that may hold records
// of a cell. Only the cell's owner writes it.
type Members struct {
	Cell uint32 `json:"cell"`
	// Generation is the owner's that wrote the list.
	Generation uint64 `json:"generation"`
	// Version rises with each change under any generation.
	Version uint64   `json:"version"`
	Agents  []Member `json:"agents"`
}

// Member is one start of an agent.
type Member struct {
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

func (m Members) clone() Members {
	m.Agents = slices.Clone(m.Agents)
	return m
}

func (m *Members) index(incarnation string) int {
	return slices.IndexFunc(m.Agents, func(a Member) bool { return a.Incarnation == incarnation })
}

// adoptMembers starts from the list of the previous owner: all that may hold
// records must be fenced.
func (c *Cell) adoptMembers(m Members, now time.Time) {
	m = m.clone()
	m.Cell = c.cfg.Number
	m.Generation = c.cfg.Generation
	m.Version++
	m.Agents = slices.DeleteFunc(m.Agents, func(a Member) bool { return c.forgettable(a, now) })
	for _, a := range m.Agents {
		c.gaps[a.Incarnation] = c.gapOf(a, now)
		c.sched.SetEndpoint(now, sched.Endpoint{
			Name:          a.Endpoint,
			FailureDomain: a.FailureDomain,
			Slots:         a.Slots,
			State:         sched.Detached,
		})
	}
	c.members = m
}

// gapOf returns the time up to which ids may have been started at an agent
// whose records are missing. Two clocks took part: the former owner's and,
// through its bound on ids from the future, the caller's.
func (c *Cell) gapOf(a Member, now time.Time) time.Time {
	last := now
	if !a.DepartedAt.IsZero() {
		last = a.DepartedAt
	}
	return last.Add(2 * c.cfg.ClockSkew)
}

func (c *Cell) forgettable(a Member, now time.Time) bool {
	return !a.DepartedAt.IsZero() && now.Sub(a.DepartedAt) > c.idHorizon()
}

// gapUntil is the time up to which unknown ids may have been started.
func (c *Cell) gapUntil() time.Time {
	latest := time.Time{}
	for _, t := range c.gaps {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

func (c *Cell) forgetGaps(now time.Time) {
	for id, until := range c.gaps {
		if now.Sub(until) > c.idHorizon() {
			delete(c.gaps, id)
		}
	}
}

// Accepted tells the cell that its ownership is accepted: no older owner can
// be confirmed any more, and none acts later than the freshness limit.
func (c *Cell) Accepted(now time.Time) {
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
	for _, a := range c.members.Agents {
		if _, missing := c.gaps[a.Incarnation]; missing {
			c.gaps[a.Incarnation] = c.gapOf(a, now)
		}
	}
	held := c.pending
	c.pending = nil
	for _, p := range held {
		p.submission.TimeoutNs -= int64(now.Sub(p.arrived))
		c.submit(p.submission, p.reply, now)
		if p.cancelled {
			c.cancel(sched.Key(p.submission.GetId()), now)
		}
	}
}

func (c *Cell) allFenced() bool {
	for _, a := range c.members.Agents {
		_, missing := c.gaps[a.Incarnation]
		if missing && a.DepartedAt.IsZero() {
			return false
		}
	}
	return true
}

// MembersToStore returns the list that the store should hold, with the
// version that MembersStored expects.
func (c *Cell) MembersToStore(now time.Time) Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(c.members.Agents), func(a Member) bool { return c.forgettable(a, now) })
	if len(kept) != len(c.members.Agents) {
		c.members.Agents = kept
		c.members.Version++
	}
	return c.members.clone()
}

// MembersStored tells the cell that the store holds this list; the agents on
// it may be used.
func (c *Cell) MembersStored(m Members, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.inOrder(anyEndpoint) {
		if i := m.index(e.incarnation); i >= 0 && m.Agents[i].DepartedAt.IsZero() {
			e.listed = true
			c.updateEndpoint(e, now)
		}
	}
	c.dispatch(now)
}

// enlist puts an attached agent on the list.
func (c *Cell) enlist(e *endpoint) {
	i := c.members.index(e.incarnation)
	if i >= 0 && c.members.Agents[i].DepartedAt.IsZero() {
		return
	}
	c.members.Version++
	if i >= 0 {
		c.members.Agents[i].DepartedAt = time.Time{}
		return
	}
	c.members.Agents = append(c.members.Agents, Member{
		Endpoint:      e.name,
		Incarnation:   e.incarnation,
		FailureDomain: e.domain,
		Slots:         e.slots,
	})
}

// departMissing gives up on listed agents that have not come back since the
// takeover. The old owner's time is over, so that nothing started there later.
func (c *Cell) departMissing(now time.Time) {
	if c.phase != serving || len(c.gaps) == 0 || now.Sub(c.servingSince) < c.cfg.LostAfter {
		return
	}
	for _, a := range c.members.Agents {
		if _, missing := c.gaps[a.Incarnation]; missing {
			c.depart(a.Incarnation, now)
		}
	}
}

// depart marks an agent as gone.
func (c *Cell) depart(incarnation string, now time.Time) {
	i := c.members.index(incarnation)
	if i < 0 || !c.members.Agents[i].DepartedAt.IsZero() {
		return
	}
	c.members.Agents[i].DepartedAt = now.Round(0).UTC()
	c.members.Version++
}
