package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCallers bounds the callers that a dispatcher remembers.
	maxCallers = 1000
	// callerRetention is how long a caller that sends nothing is remembered. By then
	// its demand has decayed to less than a seventh.
	callerRetention = 2 * demandTimeConstant
	// minKnownCallers is the number of callers from which they are compared.
	minKnownCallers = 2
	// maxCallerExcess times the mean demand of all callers is the demand from which a
	// caller is refused first under contention. Callers differ by nature; one that
	// uses twice as much as the mean or less is not taken for the cause.
	maxCallerExcess = 2.0
	// minCallerJobs is the number of recent jobs from which a caller is compared. Jobs
	// differ by orders of magnitude: with fewer, a single large job would make its caller
	// one that floods.
	minCallerJobs = 8
)

// Callers measures the admitted work of each recent caller. It addresses a caller
// that floods a dispatcher: without it, the callers of the same route would be refused
// as often as the one that causes the contention.
type Callers struct {
	known *recent[callerDemand]
}

// callerDemand is the admitted work of a caller, and the number of its jobs, at the time
// of its update, decaying as in Demand.
type callerDemand struct {
	work, jobs float64
	updatedAt  time.Duration
}

// CallerDemand is a caller's demand over the mean of all callers.
type CallerDemand struct {
	Caller string  `json:"caller"`
	Excess float64 `json:"demand_over_mean"`
}

// NewCallers returns an empty measure.
func NewCallers() *Callers {
	return &Callers{known: newRecent[callerDemand](maxCallers, callerRetention)}
}

// Seen records that a caller has sent a job, admitted or not.
func (c *Callers) Seen(caller string, now time.Duration) { c.known.touch(caller, now) }

// Add counts admitted work of a caller.
func (c *Callers) Add(caller string, w Work, now time.Duration) {
	v := &c.known.touch(caller, now).value
	weight := decay(now - v.updatedAt)
	v.work = v.work*weight + Bounded(w.MilliCPUSeconds)
	v.jobs = v.jobs*weight + 1
	v.updatedAt = now
}

// Count returns the number of recent callers.
func (c *Callers) Count(now time.Duration) int {
	c.known.dropOld(now)
	return c.known.order.Len()
}

// Population describes the demand of all callers of all dispatchers.
type Population struct {
	// MilliCPU is their demand together, in thousandths of a core.
	MilliCPU float64
	// Callers is their number. A caller counts once for each dispatcher that it uses,
	// as its demand is measured at each of them.
	Callers float64
}

// mean returns the mean demand of a caller, zero if there are too few to compare.
func (p Population) mean() float64 {
	if p.Callers < minKnownCallers {
		return 0
	}
	return p.MilliCPU / p.Callers
}

// Excess returns the caller's demand over the mean of the population, zero if it is
// unknown.
func (c *Callers) Excess(caller string, p Population, now time.Duration) float64 {
	entry := c.known.find(caller, now)
	if entry == nil {
		return 0
	}
	return entry.value.excess(p, now)
}

// Over returns the callers that would be refused first, those with the highest demand
// first.
func (c *Callers) Over(p Population, now time.Duration) []CallerDemand {
	var over []CallerDemand
	for element := c.known.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*recentEntry[callerDemand])
		if excess := entry.value.excess(p, now); excess > maxCallerExcess {
			over = append(over, CallerDemand{Caller: entry.key, Excess: excess})
		}
	}
	slices.SortFunc(over, func(a, b CallerDemand) int { return -cmp.Compare(a.Excess, b.Excess) })
	return over
}

// excess returns the demand over the mean of the population, zero if either is unknown.
func (v *callerDemand) excess(p Population, now time.Duration) float64 {
	mean, weight := p.mean(), decay(now-v.updatedAt)
	if mean <= 0 || v.jobs*weight < minCallerJobs {
		return 0
	}
	return v.work * weight / demandTimeConstant.Seconds() / mean
}
