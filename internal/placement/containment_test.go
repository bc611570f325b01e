package placement

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// containmentFleet returns endpoints of which some are for contained jobs.
func containmentFleet(n int) []Endpoint {
	var all []Endpoint
	for i := range n {
		capacity := workload.Resources{MilliCPU: 8000}
		all = append(all, Endpoint{Name: fmt.Sprint(i), Service: "svc", Rank: uint64(n - i), Free: capacity, Capacity: capacity, Speed: 1, Healthy: true})
	}
	MarkContainment(all)
	return all
}

func request(area Area) *Request {
	return &Request{Service: "svc", Resources: workload.Resources{MilliCPU: 1000}, Count: 4, Area: area}
}

func TestContainmentIsAPartOfTheEndpoints(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 4: 1, 5: 2, 11: 3, 240: 60} {
		marked := 0
		for _, e := range containmentFleet(n) {
			if e.Containment {
				marked++
			}
		}
		must.Eq(t, want, marked, must.Sprintf("of %d", n))
	}
	must.True(t, containmentFleet(4)[3].Containment, must.Sprint("the lowest rank"))
}

// Jobs that may crash endpoints must not meet other work, nor each other: a crash
// would have several suspects.
func TestContainedJobsRunApart(t *testing.T) {
	endpoints := containmentFleet(8)
	for range 40 {
		for _, a := range Assign(request(Outside), endpoints, func(int) int { return 0 }) {
			must.False(t, endpoints[a.EndpointIndex].Containment)
		}
	}
	inside := Assign(request(Inside), endpoints, func(int) int { return 0 })
	must.Len(t, 1, inside)
	must.True(t, endpoints[inside[0].EndpointIndex].Containment)
	for i := range endpoints {
		endpoints[i].HasContained = endpoints[i].Containment
	}
	for _, a := range Assign(request(Inside), endpoints, func(int) int { return 0 }) {
		must.True(t, a.Queued, must.Sprint("it waits while another contained job runs"))
	}
}

func TestContainedJobsAreAdmittedForUsableEndpoints(t *testing.T) {
	must.True(t, AdmitContained(0, 3, 0.1), must.Sprint("one is always admitted"))
	must.False(t, AdmitContained(1, 3, 0.1))
	must.True(t, AdmitContained(2, 3, 0.5))
	must.False(t, AdmitContained(3, 3, 0.5))
}
