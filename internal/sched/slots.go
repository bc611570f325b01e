package sched

import (
	"container/heap"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// SetEndpoint adds an endpoint or takes over what changed of it. An endpoint
// that was away gets its slots back by and by.
func (s *Scheduler) SetEndpoint(now time.Time, in Endpoint) {
	s.tick(now)
	e := s.endpoints[in.Name]
	if e == nil {
		e = s.addEndpoint(in)
		if in.State == Out {
			e.awaySince = s.now
		}
	}
	e.removed = false
	was := e.State
	s.uncount(e)
	if e.FailureDomain != in.FailureDomain {
		s.leaveDomain(e)
		e.domain = s.domain(in.FailureDomain)
		e.domain.endpoints++
	}
	e.Endpoint = in
	switch {
	case was == InService && in.State != InService:
		e.awaySince = s.now
	case was != InService && in.State == InService:
		s.returned(e)
	}
	s.count(e)
	s.place(e)
}

// returned begins the ramp of an endpoint that was away for long enough.
func (s *Scheduler) returned(e *endpoint) {
	e.refusedUntil = time.Time{}
	if e.awaySince.IsZero() || s.now.Sub(e.awaySince) < s.cfg.Ramp.After {
		return
	}
	e.rampFrom = s.now
}

// RemoveEndpoint forgets an endpoint as soon as no task runs on it.
func (s *Scheduler) RemoveEndpoint(now time.Time, name string) {
	s.tick(now)
	e := s.endpoints[name]
	if e == nil {
		return
	}
	s.uncount(e)
	e.State = Detached
	e.removed = true
	s.place(e)
	s.dropIdleEndpoint(e)
}

// dropIdleEndpoint forgets a removed endpoint without tasks.
func (s *Scheduler) dropIdleEndpoint(e *endpoint) {
	if !e.removed || e.running > 0 {
		return
	}
	s.leaveDomain(e)
	delete(s.endpoints, e.Name)
}

// addEndpoint makes an endpoint that counts nothing yet.
func (s *Scheduler) addEndpoint(in Endpoint) *endpoint {
	e := &endpoint{Endpoint: in, domain: s.domain(in.FailureDomain), roomAt: -1, wakeAt: -1}
	e.domain.endpoints++
	s.endpoints[in.Name] = e
	return e
}

// domain returns the failure domain of that name, made if need be.
func (s *Scheduler) domain(name string) *domain {
	for _, d := range s.domains {
		if d.name == name {
			return d
		}
	}
	d := &domain{name: name}
	s.domains = append(s.domains, d)
	return d
}

// leaveDomain takes an endpoint off its domain.
func (s *Scheduler) leaveDomain(e *endpoint) {
	s.noRoom(e)
	e.domain.endpoints--
}

// noRoom takes an endpoint out of its domain's heap.
func (s *Scheduler) noRoom(e *endpoint) {
	if e.roomAt >= 0 {
		heap.Remove(&e.domain.room, e.roomAt)
		s.roomy--
	}
}

// count adds an endpoint's slots to the sums.
func (s *Scheduler) count(e *endpoint) {
	if e.State != InService {
		return
	}
	e.counted = e.Slots
	s.inService += e.counted
	if e.health != healthy {
		s.out += e.counted
		return
	}
	e.usable = e.counted
	e.domain.usable += e.usable
	s.usable += e.usable
	if e.usable > 0 {
		s.usableBusy += e.running
	}
}

// countBusy adds n to an endpoint's running tasks.
func (s *Scheduler) countBusy(e *endpoint, n int) {
	e.running += n
	if e.usable > 0 {
		s.usableBusy += n
	}
}

// uncount is the reverse of count.
func (s *Scheduler) uncount(e *endpoint) {
	s.inService -= e.counted
	if e.usable == 0 {
		s.out -= e.counted
	}
	if e.usable > 0 {
		s.usableBusy -= e.running
	}
	e.domain.usable -= e.usable
	s.usable -= e.usable
	e.counted = 0
	e.usable = 0
}

// setHealth moves an endpoint between the sums.
func (s *Scheduler) setHealth(e *endpoint, h health) {
	s.uncount(e)
	e.health = h
	s.count(e)
}

// place puts an endpoint into its domain's heap if it has room, and sets its
// next wake.
func (s *Scheduler) place(e *endpoint) {
	if e.health == ejected && !s.now.Before(e.ejectedUntil) {
		s.setHealth(e, probing)
		e.probes = 0
		e.slowEvidence = 0
	}
	allowed, wake := e.allowed(s.now, &s.cfg)
	s.setWake(e, wake)
	if e.running >= allowed {
		s.noRoom(e)
		return
	}
	e.score = s.score(e)
	if e.roomAt >= 0 {
		heap.Fix(&e.domain.room, e.roomAt)
		return
	}
	heap.Push(&e.domain.room, e)
	s.roomy++
}

// score orders endpoints with room: the emptier, the faster and the less
// failing first.
func (s *Scheduler) score(e *endpoint) float64 {
	load := float64(e.running+1) / float64(e.Slots)
	return load * max(1, e.slowness()) * (1 + max(0, float64(e.excess)))
}

// setWake notes when an endpoint's room may change by itself.
func (s *Scheduler) setWake(e *endpoint, wake time.Time) {
	if e.wake.Equal(wake) && (e.wakeAt >= 0) == !wake.IsZero() {
		return
	}
	e.wake = wake
	switch {
	case wake.IsZero() && e.wakeAt >= 0:
		heap.Remove(&s.wakes, e.wakeAt)
	case wake.IsZero():
	case e.wakeAt >= 0:
		heap.Fix(&s.wakes, e.wakeAt)
	default:
		heap.Push(&s.wakes, e)
	}
}

// refused learns from a start that an endpoint's agent, or the connection to
// the endpoint, refused. A refusal for the job's sake tells nothing of the
// endpoint.
func (s *Scheduler) refused(j *job, e *endpoint, code result.Code) {
	if code == result.DeadlinePassed || code == result.Cancelled {
		return
	}
	e.refusedUntil = s.now.Add(s.cfg.Ramp.Refused)
	if code == result.EndpointUnreachable {
		s.observe(j.team, e, true)
	}
}

// eject keeps work off an endpoint for a while, if the bound on the ejected
// share allows it.
func (s *Scheduler) eject(e *endpoint) {
	if e.health == healthy {
		bound := s.cfg.Ejection.MaxShare * float64(s.inService)
		if float64(s.out+e.counted) > bound {
			return
		}
	}
	hold := s.cfg.Ejection.Hold
	for i := 0; i < e.ejections && hold < s.cfg.Ejection.MaxHold; i++ {
		hold *= 2
	}
	hold = min(hold, s.cfg.Ejection.MaxHold)
	e.ejections++
	e.endings = 0
	e.ejectedUntil = s.now.Add(hold + time.Duration(s.rnd.Int64N(int64(hold)/8+1)))
	s.setHealth(e, ejected)
	s.counts.Ejections++
}

// letBack ends the probing of an endpoint and begins its ramp.
func (s *Scheduler) letBack(e *endpoint) {
	s.setHealth(e, healthy)
	e.excess = 0
	e.logSlowness = 0
	e.endings = 0
	e.rampFrom = s.now
}
