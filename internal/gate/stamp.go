package gate

import (
	"math"
	"time"
)

// Stamp is an entry's permission to start tasks for a limited time.
type Stamp struct {
	// HeartbeatSentAt is when the agent sent the heartbeat that the stamp
	// answers.
	HeartbeatSentAt time.Duration
	// ConfirmationAge is how old the entry's own confirmation was when it sent
	// the stamp.
	ConfirmationAge time.Duration
	Cell            uint32
	Generation      uint64
	ControlRevision uint64
	InService       bool
}

// ApplyStamp applies an entry's stamp at the given time. A stamp of generation
// zero, of another generation or of another cell only answers a heartbeat and
// changes nothing. A stamp with a negative time or age, or with a heartbeat time
// in the future, is ignored. Whether the endpoint is in service is taken from the stamp with
// the highest control revision.
func (g *Gate) ApplyStamp(now time.Duration, s Stamp) {
	if s.Generation == 0 || s.HeartbeatSentAt < 0 || s.HeartbeatSentAt > now || s.ConfirmationAge < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.conditions
	if s.Cell != c.cell || s.Generation != c.generation {
		return
	}
	if s.ControlRevision >= c.controlRevision {
		c.controlRevision = s.ControlRevision
		c.inService = s.InService
	}
	confirmedAt := s.HeartbeatSentAt - min(s.ConfirmationAge, maxConfirmationAge)
	if !c.stamped || confirmedAt > c.confirmedAt {
		c.stamped = true
		c.confirmedAt = confirmedAt
	}
}

// maxConfirmationAge limits the age of a confirmation. With a longer one, the
// difference between now and the time of the confirmation could overflow and
// make the stamp seem fresh.
const maxConfirmationAge = math.MaxInt64 / 2
