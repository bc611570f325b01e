package crash

import (
	"slices"
	"time"
)

const (
	// containmentPeriod is how long the jobs of a route run contained after a crash
	// by a contained one, if minDone of them are done meanwhile: while all
	// endpoints for them are down, no crash means nothing.
	containmentPeriod = 3 * time.Second
	minDone           = 3
	// maxContainment is how long they run contained otherwise. It leaves time for
	// endpoints to come back and for some jobs to be done, and bounds the
	// containment of a route that has few jobs.
	maxContainment = 6 * time.Second
)

// containment is that of the jobs of a route: one of them has crashed an endpoint
// recently, and others may be like it.
type containment struct {
	lastCrash time.Duration
	// done counts the contained jobs of the route that were done here since.
	done int
}

func (c *containment) ended(now time.Duration) bool {
	since := now - c.lastCrash
	return since >= maxContainment || since >= containmentPeriod && c.done >= minDone
}

// contain records a crash by a contained job of the route.
func (l *Log) contain(route string, at time.Duration) {
	c := l.routes[route]
	if c == nil {
		c = &containment{}
		l.routes[route] = c
	}
	if at > c.lastCrash {
		c.lastCrash, c.done = at, 0
	}
}

// ContainedJobDone records that a contained job of the route was done.
func (l *Log) ContainedJobDone(route string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.routes[route]; c != nil {
		c.done++
	}
}

// RouteContained reports whether the jobs of a route run contained.
func (l *Log) RouteContained(route string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.routes[route]
	return c != nil && !c.ended(now)
}

// AnyRouteContained reports whether any route's jobs run contained.
func (l *Log) AnyRouteContained(now time.Duration) bool {
	return len(l.ContainedRoutes(now)) > 0
}

// ContainedRoutes returns the routes whose jobs run contained.
func (l *Log) ContainedRoutes(now time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var routes []string
	for route, c := range l.routes {
		if !c.ended(now) {
			routes = append(routes, route)
		}
	}
	slices.Sort(routes)
	return routes
}
