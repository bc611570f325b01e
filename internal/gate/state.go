package gate

import "time"

// State is a gate's state for the dump.
type State struct {
	Cell       uint32 `json:"cell"`
	Generation uint64 `json:"generation"`
	// StampAgeMS is the age of the stamp in milliseconds, -1 without one.
	StampAgeMS      int64  `json:"stamp_age_ms"`
	ControlRevision uint64 `json:"control_revision"`
	InService       bool   `json:"in_service"`
	Leaving         bool   `json:"leaving"`
	Running         int    `json:"running"`
	Records         int64  `json:"records"`
	// HeldBytes is the size of the held bodies of ended tasks.
	HeldBytes int64 `json:"held_bytes"`
}

// State returns the state at the instant now.
func (g *Gate) State(now time.Duration) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.cond
	out := State{
		Cell:            p.cell,
		Generation:      p.generation,
		StampAgeMS:      -1,
		ControlRevision: p.controlRevision,
		InService:       p.inService,
		Leaving:         p.leaving,
		Running:         p.running,
		Records:         g.records.count.Load(),
		HeldBytes:       g.records.held.totalBytes(),
	}
	if p.stamped {
		out.StampAgeMS = (now - p.confirmedAt).Milliseconds()
	}
	return out
}
