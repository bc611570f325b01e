package placement

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// The load of the design: eight tasks of 60 ms, six times slower. While the sound
// endpoints are full, such a job must be placed if it ends within three times its
// objective, and only where nothing else goes wrong.
func TestPlaceOverflow(t *testing.T) {
	const estimate, objective = 40 * ms, 124 * ms
	short := func() *Urgency { return &Urgency{Objective: objective, RemainingWork: estimate} }
	change := func(f func(e *Endpoint)) []Endpoint {
		e := []Endpoint{newEndpointOfSpeed("a", 32_000, 1.0/6)}
		f(&e[0])
		return e
	}
	cases := []struct {
		name      string
		u         *Urgency
		request   Request
		endpoints []Endpoint
		deadline  time.Duration
		now       time.Duration
		want      map[string]int
	}{
		{"a short job is placed", short(), Request{Count: 8}, change(func(*Endpoint) {}), time.Hour, 0, map[string]int{"a": 8}},
		{"a long job ends too late", &Urgency{Objective: 700 * ms, RemainingWork: 400 * ms}, Request{Count: 8}, change(func(*Endpoint) {}), time.Hour, 0, nil},
		{"a job that arrived earlier ends too late", short(), Request{Count: 8}, change(func(*Endpoint) {}), time.Hour, 13 * ms, nil},
		{"the caller stops waiting", short(), Request{Count: 8}, change(func(*Endpoint) {}), 350 * ms, 0, nil},
		{"a job of unknown length", &Urgency{Objective: objective}, Request{Count: 8}, change(func(*Endpoint) {}), time.Hour, 0, nil},
		{"a suspect job", &Urgency{Objective: objective, RemainingWork: estimate, Suspect: true}, Request{Count: 8}, change(func(*Endpoint) {}), time.Hour, 0, nil},
		{"tasks share the endpoints", short(), Request{Count: 8}, []Endpoint{newEndpointOfSpeed("a", 4000, 0.2), newEndpointOfSpeed("b", 6000, 0.2)}, time.Hour, 0, map[string]int{"b": 6, "a": 2}},
		{"one task does not fit", short(), Request{Count: 14}, []Endpoint{newEndpointOfSpeed("a", 4000, 0.2), newEndpointOfSpeed("b", 9000, 0.2)}, time.Hour, 0, nil},
		{"an endpoint is too slow", short(), Request{Count: 8}, []Endpoint{newEndpointOfSpeed("a", 9000, 0.1), newEndpointOfSpeed("b", 9000, 0.2)}, time.Hour, 0, map[string]int{"b": 8}},
		{"no speed is known", short(), Request{Count: 1}, change(func(e *Endpoint) { e.Speed = 0 }), time.Hour, 0, nil},
		{"the speed is not a number", short(), Request{Count: 1}, change(func(e *Endpoint) { e.Speed = math.NaN() }), time.Hour, 0, nil},
		{"another service", short(), Request{Count: 1}, change(func(e *Endpoint) { e.Service = "other" }), time.Hour, 0, nil},
		{"the job failed there", short(), Request{Count: 1, Avoid: map[string]bool{"a": true}}, change(func(*Endpoint) {}), time.Hour, 0, nil},
		{"the endpoint is for contained jobs", short(), Request{Count: 1, Area: Outside}, change(func(e *Endpoint) { e.Containment = true }), time.Hour, 0, nil},
		{"a contained job runs there", short(), Request{Count: 1}, change(func(e *Endpoint) { e.HasContained = true }), time.Hour, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.request.Service, c.request.Resources = "s", workload.Resources{MilliCPU: 1000}
			free := c.endpoints[0].Free
			assigned, ok := PlaceOverflow(c.u, []*Request{&c.request}, c.endpoints, c.deadline, c.now, firstIndex)
			must.Eq(t, c.want != nil, ok)
			if ok {
				must.Eq(t, c.want, countByEndpoint(assigned[0], c.endpoints))
			} else {
				must.Eq(t, free, c.endpoints[0].Free, must.Sprint("nothing is reserved"))
			}
		})
	}
}

func newEndpointOfSpeed(name string, free int64, speed float64) Endpoint {
	e := newEndpoint(name, free)
	e.Speed = speed
	return e
}

// The worst case: 70 endpoints are searched, and none ends the job in time.
func BenchmarkPlaceOverflow(b *testing.B) {
	endpoints := slices.Repeat([]Endpoint{newEndpointOfSpeed("a", 32_000, 0.05)}, 70)
	u := &Urgency{Objective: 124 * ms, RemainingWork: 40 * ms}
	requests := []*Request{{Service: "s", Resources: workload.Resources{MilliCPU: 2600}, Count: 8}}
	for b.Loop() {
		_, _ = PlaceOverflow(u, requests, endpoints, time.Hour, 0, firstIndex)
	}
}
