package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

const ms = time.Millisecond

func firstIndex(int) int { return 0 }

func newEndpoint(name string, free int64) Endpoint {
	return Endpoint{
		Name: name, Service: "s", Speed: 1, Healthy: true,
		Free: workload.Resources{MilliCPU: free}, Capacity: workload.Resources{MilliCPU: replaySlots * replayTaskMilliCPU},
	}
}

func newRequest(count int) *Request {
	return &Request{Service: "s", Resources: workload.Resources{MilliCPU: 1000}, Count: count}
}

// countByEndpoint returns the number of assigned tasks by endpoint name.
func countByEndpoint(assignments []Assignment, endpoints []Endpoint) map[string]int {
	counts := map[string]int{}
	for _, a := range assignments {
		counts[endpoints[a.EndpointIndex].Name] += a.Count
	}
	return counts
}

func TestAssign(t *testing.T) {
	slow := newEndpoint("slow", 9000)
	slow.Speed = 0.3
	unhealthy := newEndpoint("unhealthy", 9000)
	unhealthy.Healthy = false
	other := newEndpoint("other", 9000)
	other.Service = "another"
	cases := []struct {
		name      string
		request   *Request
		endpoints []Endpoint
		want      map[string]int
	}{
		{"the tasks of a job share an endpoint", newRequest(4), []Endpoint{newEndpoint("a", 2000), newEndpoint("b", 4000)}, map[string]int{"b": 4}},
		{"tasks that do not fit go to the next endpoint", newRequest(6), []Endpoint{newEndpoint("a", 2000), newEndpoint("b", 4000)}, map[string]int{"a": 2, "b": 4}},
		{"an endpoint of another service gets nothing", newRequest(1), []Endpoint{other}, map[string]int{}},
		{"slow endpoints come last", newRequest(2), []Endpoint{slow, newEndpoint("a", 1000)}, map[string]int{"a": 1, "slow": 1}},
		{"an unhealthy endpoint gets one probe task", newRequest(2), []Endpoint{unhealthy, newEndpoint("a", 0)}, map[string]int{"unhealthy": 1, "a": 1}},
		{"tasks that do not fit now are added to the shortest queue", newRequest(3), []Endpoint{newEndpoint("a", -2000), newEndpoint("b", 0)}, map[string]int{"b": 2, "a": 1}},
		{"queues are bounded", newRequest(30), []Endpoint{newEndpoint("a", 0)}, map[string]int{"a": 5}},
		{"tasks that can never fit are not queued", &Request{Service: "s", Resources: workload.Resources{MilliCPU: 20_000}, Count: 1}, []Endpoint{newEndpoint("a", 0)}, map[string]int{}},
		{"avoided endpoints come last", &Request{Service: "s", Resources: workload.Resources{MilliCPU: 1000}, Count: 1, Avoid: map[string]bool{"a": true}},
			[]Endpoint{newEndpoint("a", 9000), newEndpoint("b", 1000)}, map[string]int{"b": 1}},
		{"MaxPerEndpoint bounds the tasks", &Request{Service: "s", Resources: workload.Resources{MilliCPU: 1000}, Count: 4, MaxPerEndpoint: 2, PlacedByEndpoint: map[string]int{"a": 1}},
			[]Endpoint{newEndpoint("a", 9000), newEndpoint("b", 9000)}, map[string]int{"a": 1, "b": 2}},
		{"an endpoint without the required label gets nothing", &Request{Service: "s", Resources: workload.Resources{MilliCPU: 1000}, Count: 1, RequiredLabel: "x"}, []Endpoint{newEndpoint("a", 9000)}, map[string]int{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, countByEndpoint(Assign(c.request, c.endpoints, firstIndex), c.endpoints))
		})
	}
}

func TestCompareOrdersByClassThenSlack(t *testing.T) {
	now := 100 * ms
	started := &Urgency{ArrivedAt: 0, Objective: 400 * ms, RemainingWork: 50 * ms, Started: true}
	tight := &Urgency{ArrivedAt: 90 * ms, Objective: 100 * ms, RemainingWork: 60 * ms}
	loose := &Urgency{ArrivedAt: 0, Objective: 900 * ms, RemainingWork: 60 * ms}
	lateStarted := &Urgency{ArrivedAt: 0, Objective: 100 * ms, RemainingWork: 50 * ms, Started: true}
	lateUnstarted := &Urgency{ArrivedAt: 0, Objective: 100 * ms, RemainingWork: 60 * ms}
	order := []*Urgency{started, tight, loose, lateStarted, lateUnstarted}
	for i, a := range order {
		for k, b := range order {
			must.Eq(t, sign(i-k), sign(Compare(a, b, now)), must.Sprintf("%d before %d", i, k))
		}
	}
	must.True(t, lateUnstarted.LateUnstarted(now))
	must.False(t, lateStarted.LateUnstarted(now))
	must.False(t, lateUnstarted.Expired(now))
	must.True(t, lateUnstarted.Expired(241*ms))
}

func sign(n int) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	}
	return 0
}

// Guards against refusing jobs at low load: the long duration of four queued
// tasks must not count as waiting time, because an arriving job only waits
// until they have started.
func TestQueuedLongTasksCauseNoRefusal(t *testing.T) {
	u := &Urgency{ArrivedAt: 0, Objective: 380 * ms, RemainingWork: 200 * ms}
	must.True(t, Admit(u, Backlog{QueuedMilliCPU: 4 * 3100, CapacityMilliCPU: 410_000, MeanTaskDuration: 160 * ms}, 0))
}

func TestAdmit(t *testing.T) {
	u := &Urgency{ArrivedAt: 0, Objective: 160 * ms, RemainingWork: 60 * ms}
	backlog := func(cpu int64) Backlog {
		return Backlog{QueuedMilliCPU: cpu, CapacityMilliCPU: 1000, MeanTaskDuration: 100 * ms}
	}
	must.True(t, Admit(u, backlog(0), 0))
	must.True(t, Admit(u, backlog(500), 0))
	must.False(t, Admit(u, backlog(700), 0))
	must.False(t, Admit(u, backlog(500), 90*ms), must.Sprint("the slack is nearly used up"))
	must.False(t, Admit(u, Backlog{QueuedMilliCPU: 1, MeanTaskDuration: ms}, 0), must.Sprint("there is no capacity at all"))
}
