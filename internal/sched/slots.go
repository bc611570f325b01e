package sched

import (
	"container/heap"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// SetEndpoint adds an endpoint or takes over what changed of it. An endpoint
// that was away gets its slots back by and by.
func (s *Scheduler) SetEndpoint(now time.Time, in Endpoint) {
	s.updateNow(now)
	e := s.endpoints[in.Name]
	if e == nil {
		e = s.addEndpoint(in)
		if in.State == OutOfService {
			e.outOfServiceSince = s.now
		}
	}
	e.removed = false
	was := e.State
	s.removeSlots(e)
	if e.FailureDomain != in.FailureDomain {
		s.leaveDomain(e)
		e.domain = s.ensureDomain(in.FailureDomain)
		e.domain.endpoints++
	}
	e.Endpoint = in
	switch {
	case was == InService && in.State != InService:
		e.outOfServiceSince = s.now
	case was != InService && in.State == InService:
		s.startRampOnReturn(e)
	}
	s.addSlots(e)
	s.updateAvailability(e)
}

// startRampOnReturn begins the ramp of an endpoint that was away for long enough.
func (s *Scheduler) startRampOnReturn(e *endpoint) {
	e.backoffUntil = time.Time{}
	if e.outOfServiceSince.IsZero() || s.now.Sub(e.outOfServiceSince) < s.cfg.Ramp.MinAbsence {
		return
	}
	e.rampStart = s.now
}

// RemoveEndpoint forgets an endpoint as soon as no task runs on it.
func (s *Scheduler) RemoveEndpoint(now time.Time, name string) {
	s.updateNow(now)
	e := s.endpoints[name]
	if e == nil {
		return
	}
	s.removeSlots(e)
	e.State = Detached
	e.removed = true
	s.updateAvailability(e)
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
	e := &endpoint{Endpoint: in, domain: s.ensureDomain(in.FailureDomain), availableIndex: -1, wakeupIndex: -1}
	e.domain.endpoints++
	s.endpoints[in.Name] = e
	return e
}

// ensureDomain returns the failure domain of that name, made if need be.
func (s *Scheduler) ensureDomain(name string) *domain {
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
	s.markUnavailable(e)
	e.domain.endpoints--
}

// markUnavailable takes an endpoint out of its domain's heap.
func (s *Scheduler) markUnavailable(e *endpoint) {
	if e.availableIndex >= 0 {
		heap.Remove(&e.domain.available, e.availableIndex)
		s.availableEndpoints--
	}
}

// addSlots adds an endpoint's slots to the sums.
func (s *Scheduler) addSlots(e *endpoint) {
	if e.State != InService {
		return
	}
	e.inServiceSlots = e.Slots
	s.inServiceSlots += e.inServiceSlots
	if e.health != healthy {
		s.ejectedSlots += e.inServiceSlots
		return
	}
	e.usableSlots = e.inServiceSlots
	e.domain.usableSlots += e.usableSlots
	s.usableSlots += e.usableSlots
	if e.usableSlots > 0 {
		s.usableRunning += e.running
	}
}

// countEndpointRunning adds n to an endpoint's running tasks.
func (s *Scheduler) countEndpointRunning(e *endpoint, n int) {
	e.running += n
	if e.usableSlots > 0 {
		s.usableRunning += n
	}
}

// removeSlots is the reverse of count.
func (s *Scheduler) removeSlots(e *endpoint) {
	s.inServiceSlots -= e.inServiceSlots
	if e.usableSlots == 0 {
		s.ejectedSlots -= e.inServiceSlots
	}
	if e.usableSlots > 0 {
		s.usableRunning -= e.running
	}
	e.domain.usableSlots -= e.usableSlots
	s.usableSlots -= e.usableSlots
	e.inServiceSlots = 0
	e.usableSlots = 0
}

// setHealth moves an endpoint between the sums.
func (s *Scheduler) setHealth(e *endpoint, h health) {
	s.removeSlots(e)
	e.health = h
	s.addSlots(e)
}

// updateAvailability puts an endpoint into its domain's heap if it has room, and sets its
// next wake.
func (s *Scheduler) updateAvailability(e *endpoint) {
	if e.health == ejected && !s.now.Before(e.ejectedUntil) {
		s.setHealth(e, probing)
		e.probeSuccesses = 0
		e.slowLogLikelihood = 0
	}
	allowed, wake := e.allowed(s.now, &s.cfg)
	s.setWakeup(e, wake)
	if e.running >= allowed {
		s.markUnavailable(e)
		return
	}
	e.score = s.score(e)
	if e.availableIndex >= 0 {
		heap.Fix(&e.domain.available, e.availableIndex)
		return
	}
	heap.Push(&e.domain.available, e)
	s.availableEndpoints++
}

// score orders endpoints with room: the emptier, the faster and the less
// failing first.
func (s *Scheduler) score(e *endpoint) float64 {
	load := float64(e.running+1) / float64(e.Slots)
	return load * max(1, e.slowness()) * (1 + max(0, float64(e.excessFailureRate)))
}

// setWakeup notes when an endpoint's room may change by itself.
func (s *Scheduler) setWakeup(e *endpoint, wake time.Time) {
	if e.wakeupTime.Equal(wake) && (e.wakeupIndex >= 0) == !wake.IsZero() {
		return
	}
	e.wakeupTime = wake
	switch {
	case wake.IsZero() && e.wakeupIndex >= 0:
		heap.Remove(&s.wakeups, e.wakeupIndex)
	case wake.IsZero():
	case e.wakeupIndex >= 0:
		heap.Fix(&s.wakeups, e.wakeupIndex)
	default:
		heap.Push(&s.wakeups, e)
	}
}

// recordRefusal learns from a start that an endpoint's agent, or the connection to
// the endpoint, refused. A refusal for the job's sake tells nothing of the
// endpoint.
func (s *Scheduler) recordRefusal(j *job, e *endpoint, code result.Code) {
	if code == result.DeadlinePassed || code == result.Cancelled {
		return
	}
	e.backoffUntil = s.now.Add(s.cfg.Ramp.RefusalBackoff)
	if code == result.EndpointUnreachable {
		s.updateFailureRates(j.team, e, true)
	}
}

// eject keeps work off an endpoint for a while, if the bound on the ejected
// share allows it.
func (s *Scheduler) eject(e *endpoint) {
	if e.health == healthy {
		bound := s.cfg.Ejection.MaxFraction * float64(s.inServiceSlots)
		if float64(s.ejectedSlots+e.inServiceSlots) > bound {
			return
		}
	}
	hold := s.cfg.Ejection.InitialDuration
	for i := 0; i < e.ejections && hold < s.cfg.Ejection.MaxDuration; i++ {
		hold *= 2
	}
	hold = min(hold, s.cfg.Ejection.MaxDuration)
	e.ejections++
	e.completions = 0
	e.ejectedUntil = s.now.Add(hold + time.Duration(s.rnd.Int64N(int64(hold)/8+1)))
	s.setHealth(e, ejected)
	s.totals.Ejections++
}

// reinstate ends the probing of an endpoint and begins its ramp.
func (s *Scheduler) reinstate(e *endpoint) {
	s.setHealth(e, healthy)
	e.excessFailureRate = 0
	e.logSlowness = 0
	e.completions = 0
	e.rampStart = s.now
}
