package handover

import "time"

const (
	// fractionStep is by how much the fraction of jobs to forward rises at each tick while
	// the process is starved: from nothing to the maximum within 0.2 s, as jobs that
	// arrive until then are late.
	fractionStep = 0.1
	// fractionDecay is by how much the fraction falls at each other tick. It is smaller,
	// so that a process that recovers because it forwards jobs takes them back gradually.
	fractionDecay = 0.02
	// maxFraction bounds the fraction, so that some jobs still probe what the process can
	// do.
	maxFraction = 0.9
	// minSlack is the least slack of a job to be forwarded: a round trip between failure
	// domains and the handling at the peer.
	minSlack = 10 * time.Millisecond
)

// Controller decides how many of the arriving jobs a process forwards. It addresses callers
// of one failure domain at a multiple of their rate while some dispatchers have a quarter of
// their CPU time: such a dispatcher keeps accepting jobs, and answers them late or not
// at all, while others have CPU time to spare. Its zero value is a process that is not
// starved.
type Controller struct {
	lag      lag
	starved  bool
	fraction float64
}

// Tick records a tick that began late, at a process whose jobs have a low slack, and
// reports whether the process entered or left the starved state.
func (c *Controller) Tick(late, lowSlack time.Duration) bool {
	before, limit := c.starved, maxLag(lowSlack)
	c.lag.add(late, limit)
	if c.starved {
		c.starved = float64(c.lag.value()) >= stopFraction*float64(limit)
	} else {
		c.starved = c.lag.value() > limit
	}
	if c.starved {
		c.fraction = min(c.fraction+fractionStep, maxFraction)
	} else {
		c.fraction = max(c.fraction-fractionDecay, 0)
	}
	return c.starved != before
}

// Lag returns how much later than due ticks recently began.
func (c *Controller) Lag() time.Duration { return c.lag.value() }

// Starved reports whether jobs would be late for lack of CPU time.
func (c *Controller) Starved() bool { return c.starved }

// Fraction returns the fraction of arriving jobs to forward.
func (c *Controller) Fraction() float64 { return c.fraction }

// Job is an arriving job.
type Job struct {
	// Suspect is set if the job may crash endpoints, or runs of it were in a crash.
	Suspect bool
	// Forwarded is set if another dispatcher has forwarded the job.
	Forwarded bool
	Slack     time.Duration
}

// Forward reports whether a job that isn't known here is to be forwarded if a peer is
// known. random is uniformly distributed in [0, 1).
func (c *Controller) Forward(j Job, random float64) bool {
	return !j.Suspect && !j.Forwarded && j.Slack >= minSlack && random < c.fraction
}
