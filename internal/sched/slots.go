package sched

import (
	"container/heap"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// SetEndpoint adds or updates an endpoint. If it was out of service for long
// enough, its slots are ramped up.
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
	previous := e.State
	s.removeSlots(e)
	if e.FailureDomain != in.FailureDomain {
		s.leaveDomain(e)
		e.domain = s.ensureDomain(in.FailureDomain)
		e.domain.endpoints++
	}
	e.Endpoint = in
	switch {
	case previous == InService && in.State != InService:
		e.outOfServiceSince = s.now
	case previous != InService && in.State == InService:
		s.startRampOnReturn(e)
	}
	s.addSlots(e)
	s.updateAvailability(e)
}

// startRampOnReturn ends the backoff of an endpoint that returns to service, and
// starts its ramp if it was out of service for at least MinAbsence.
func (s *Scheduler) startRampOnReturn(e *endpoint) {
	e.backoffUntil = time.Time{}
	if e.outOfServiceSince.IsZero() || s.now.Sub(e.outOfServiceSince) < s.cfg.Ramp.MinAbsence {
		return
	}
	e.rampStart = s.now
}

// RemoveEndpoint removes an endpoint as soon as no task runs on it.
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

// dropIdleEndpoint deletes a removed endpoint that runs no tasks.
func (s *Scheduler) dropIdleEndpoint(e *endpoint) {
	if !e.removed || e.running > 0 {
		return
	}
	s.leaveDomain(e)
	delete(s.endpoints, e.Name)
}

// addEndpoint creates an endpoint that does not count in the totals yet.
func (s *Scheduler) addEndpoint(in Endpoint) *endpoint {
	e := &endpoint{Endpoint: in, domain: s.ensureDomain(in.FailureDomain), availableIndex: -1, wakeupIndex: -1}
	e.domain.endpoints++
	s.endpoints[in.Name] = e
	return e
}

// ensureDomain returns the failure domain of that name, and creates it if
// needed.
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

// leaveDomain removes an endpoint from its domain.
func (s *Scheduler) leaveDomain(e *endpoint) {
	s.markUnavailable(e)
	e.domain.endpoints--
}

// markUnavailable removes an endpoint from its domain's heap.
func (s *Scheduler) markUnavailable(e *endpoint) {
	if e.availableIndex >= 0 {
		heap.Remove(&e.domain.available, e.availableIndex)
		s.availableEndpoints--
	}
}

// addSlots adds an endpoint's slots to the totals.
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

// countEndpointRunning adds n to the running tasks of an endpoint.
func (s *Scheduler) countEndpointRunning(e *endpoint, n int) {
	e.running += n
	if e.usableSlots > 0 {
		s.usableRunning += n
	}
}

// removeSlots undoes addSlots.
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

// setHealth sets an endpoint's health and updates the totals.
func (s *Scheduler) setHealth(e *endpoint, h health) {
	s.removeSlots(e)
	e.health = h
	s.addSlots(e)
}

// updateAvailability moves an endpoint into or out of its domain's heap,
// depending on whether it may be given a task, and sets its next wakeup. An
// endpoint whose ejection has ended becomes probing first.
func (s *Scheduler) updateAvailability(e *endpoint) {
	if e.health == ejected && !s.now.Before(e.ejectedUntil) {
		s.setHealth(e, probing)
		e.probeSuccesses = 0
		e.slowLogLikelihood = 0
	}
	allowed, wakeup := e.allowed(s.now, &s.cfg)
	s.setWakeup(e, wakeup)
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

// score ranks available endpoints: lightly loaded, fast and rarely failing ones
// first.
func (s *Scheduler) score(e *endpoint) float64 {
	load := float64(e.running+1) / float64(e.Slots)
	return load * max(1, e.slowness()) * (1 + max(0, float64(e.excessFailureRate)))
}

// setWakeup sets when the number of allowed tasks may rise with no other event.
func (s *Scheduler) setWakeup(e *endpoint, wakeup time.Time) {
	if e.wakeupTime.Equal(wakeup) && (e.wakeupIndex >= 0) == !wakeup.IsZero() {
		return
	}
	e.wakeupTime = wakeup
	switch {
	case wakeup.IsZero() && e.wakeupIndex >= 0:
		heap.Remove(&s.wakeups, e.wakeupIndex)
	case wakeup.IsZero():
	case e.wakeupIndex >= 0:
		heap.Fix(&s.wakeups, e.wakeupIndex)
	default:
		heap.Push(&s.wakeups, e)
	}
}

// recordRefusal records a start that was refused by the endpoint's agent or
// failed to connect. A refusal for the job's own sake says nothing about the
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

// eject ejects an endpoint for a while, with a random extra of up to an eighth,
// if the limit on ejected slots allows it. A probing endpoint already counts
// towards that limit.
func (s *Scheduler) eject(e *endpoint) {
	if e.health == healthy {
		limit := s.cfg.Ejection.MaxFraction * float64(s.inServiceSlots)
		if float64(s.ejectedSlots+e.inServiceSlots) > limit {
			return
		}
	}
	duration := s.cfg.Ejection.InitialDuration
	for i := 0; i < e.ejections && duration < s.cfg.Ejection.MaxDuration; i++ {
		duration *= 2
	}
	duration = min(duration, s.cfg.Ejection.MaxDuration)
	e.ejections++
	e.completions = 0
	e.ejectedUntil = s.now.Add(duration + time.Duration(s.rnd.Int64N(int64(duration)/8+1)))
	s.setHealth(e, ejected)
	s.totals.Ejections++
}

// reinstate ends the probing of an endpoint and starts its ramp.
func (s *Scheduler) reinstate(e *endpoint) {
	s.setHealth(e, healthy)
	e.excessFailureRate = 0
	e.logSlowness = 0
	e.completions = 0
	e.rampStart = s.now
}
