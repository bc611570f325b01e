package gate

import "time"

// State is the gate's part of the state dump.
type State struct {
	Cell       uint32 `json:"cell"`
	Generation uint64 `json:"generation"`
	// StampAgeMS is the age of the confirmation behind the stamp in
	// milliseconds, or -1 if there is no stamp.
	StampAgeMS      int64  `json:"stamp_age_ms"`
	ControlRevision uint64 `json:"control_revision"`
	InService       bool   `json:"in_service"`
	Leaving         bool   `json:"leaving"`
	Running         int    `json:"running"`
	Records         int64  `json:"records"`
	// HeldBytes is the size of the kept bodies of ended tasks.
	HeldBytes int64 `json:"held_bytes"`
}

// State returns the gate's state at the given time.
func (g *Gate) State(now time.Duration) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.conditions
	out := State{
		Cell:            c.cell,
		Generation:      c.generation,
		StampAgeMS:      -1,
		ControlRevision: c.controlRevision,
		InService:       c.inService,
		Leaving:         c.leaving,
		Running:         c.running,
		Records:         g.records.count.Load(),
		HeldBytes:       g.records.held.totalBytes(),
	}
	if c.stamped {
		out.StampAgeMS = (now - c.confirmedAt).Milliseconds()
	}
	return out
}
