package placement

import (
	"math"
	"time"
)

const (
	// herdFactor is how many times faster than the mean the free capacity is taken that
	// a dispatcher would choose: the others choose the endpoints with most free
	// capacity too.
	herdFactor = 3
	// minTaskDuration bounds the mean task duration from below, so that rates are finite.
	minTaskDuration = time.Millisecond
)

// SetTakenByOthers sets the fraction of each endpoint's free capacity that other
// dispatchers have probably taken since the view of it was sent. It addresses several
// dispatchers that share endpoints at 60 to 90 % load with views that are tens of
// milliseconds old: each sees the same endpoints as emptiest, and many of the starts
// sent there are refused.
//
// In a steady state, the starts in each mean task duration use as much capacity as is
// used now. othersShare is the fraction of the load that other dispatchers place, from
// 0 to 1; with 0, or while nothing is used, nothing counts as taken.
func SetTakenByOthers(endpoints []Endpoint, othersShare float64, meanTaskDuration time.Duration) {
	for i := range endpoints {
		endpoints[i].taken = 0
	}
	if !(othersShare > 0) {
		return
	}
	perUsed := herdFactor * min(othersShare, 1) / max(meanTaskDuration, minTaskDuration).Seconds()
	for i := range endpoints {
		// A service's endpoints are done with its first one.
		if service := endpoints[i].Service; isFirstOfService(endpoints, i) {
			setTakenOfService(endpoints[i:], service, perUsed)
		}
	}
}

// isFirstOfService reports whether no endpoint before index i is of the same service.
func isFirstOfService(endpoints []Endpoint, i int) bool {
	for k := range i {
		if endpoints[k].Service == endpoints[i].Service {
			return false
		}
	}
	return true
}

// setTakenOfService sets the taken fraction of a service's endpoints, where others take
// perUsed times the used CPU in a second.
func setTakenOfService(endpoints []Endpoint, service string, perUsed float64) {
	var free, used float64
	for i := range endpoints {
		if e := &endpoints[i]; e.Service == service {
			unused := float64(max(e.Free.MilliCPU, 0))
			free += unused
			used += max(float64(e.Capacity.MilliCPU)-unused, 0)
		}
	}
	if free == 0 || used == 0 {
		return
	}
	rate := perUsed * used / free
	for i := range endpoints {
		if e := &endpoints[i]; e.Service == service && e.ViewAge > 0 {
			e.taken = 1 - math.Exp(-rate*e.ViewAge.Seconds())
		}
	}
}

// likelyFit returns how many of the fit tasks that the view has capacity for probably
// find it at the endpoint.
func (r *Request) likelyFit(e *Endpoint, fit float64) float64 {
	left := 1 - e.taken
	likely := boundByLeft(fit, r.Resources.MilliCPU, e.Free.MilliCPU, left)
	likely = boundByLeft(likely, r.Resources.MemoryMB, e.Free.MemoryMB, left)
	return boundByLeft(likely, r.Resources.GPUs, e.Free.GPUs, left)
}

// boundByLeft returns n, or how many tasks fit if each needs an amount of what is left
// of the free capacity and fewer fit.
func boundByLeft(n float64, need, free int64, left float64) float64 {
	if need <= 0 {
		return n
	}
	return min(n, left*float64(free)/float64(need))
}
