package place

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/work"
)

const ms = time.Millisecond

func first0(int) int { return 0 }

func endpoint(name string, free int64) Endpoint {
	return Endpoint{
		Name: name, Service: "s", Speed: 1, Healthy: true,
		Free: work.Resources{CPU: free}, Capacity: work.Resources{CPU: replayRoom * replayTasks},
	}
}

func wish(count int) *Wish {
	return &Wish{Service: "s", Need: work.Resources{CPU: 1000}, Count: count}
}

// counts gives the number of tasks by endpoint.
func counts(picks []Pick, endpoints []Endpoint) map[string]int {
	out := map[string]int{}
	for _, p := range picks {
		out[endpoints[p.At].Name] += p.Count
	}
	return out
}

func TestChoose(t *testing.T) {
	slow := endpoint("slow", 9000)
	slow.Speed = 0.3
	trial := endpoint("trial", 9000)
	trial.Healthy = false
	other := endpoint("other", 9000)
	other.Service = "another"
	cases := []struct {
		name      string
		wish      *Wish
		endpoints []Endpoint
		want      map[string]int
	}{
		{"a job stays together", wish(4), []Endpoint{endpoint("a", 2000), endpoint("b", 4000)}, map[string]int{"b": 4}},
		{"the rest goes to the next", wish(6), []Endpoint{endpoint("a", 2000), endpoint("b", 4000)}, map[string]int{"a": 2, "b": 4}},
		{"another service gets nothing", wish(1), []Endpoint{other}, map[string]int{}},
		{"slow ones come last", wish(2), []Endpoint{slow, endpoint("a", 1000)}, map[string]int{"a": 1, "slow": 1}},
		{"one task proves an endpoint", wish(2), []Endpoint{trial, endpoint("a", 0)}, map[string]int{"trial": 1, "a": 1}},
		{"what doesn't fit waits where the queue is shortest", wish(3), []Endpoint{endpoint("a", -2000), endpoint("b", 0)}, map[string]int{"b": 2, "a": 1}},
		{"queues are bounded", wish(30), []Endpoint{endpoint("a", 0)}, map[string]int{"a": 5}},
		{"what can't fit doesn't wait", &Wish{Service: "s", Need: work.Resources{CPU: 20_000}, Count: 1}, []Endpoint{endpoint("a", 0)}, map[string]int{}},
		{"avoided ones come last", &Wish{Service: "s", Need: work.Resources{CPU: 1000}, Count: 1, Avoid: map[string]bool{"a": true}},
			[]Endpoint{endpoint("a", 9000), endpoint("b", 1000)}, map[string]int{"b": 1}},
		{"a bound per endpoint", &Wish{Service: "s", Need: work.Resources{CPU: 1000}, Count: 4, MaxPerEndpoint: 2, Present: map[string]int{"a": 1}},
			[]Endpoint{endpoint("a", 9000), endpoint("b", 9000)}, map[string]int{"a": 1, "b": 2}},
		{"a label", &Wish{Service: "s", Need: work.Resources{CPU: 1000}, Count: 1, Label: "x"}, []Endpoint{endpoint("a", 9000)}, map[string]int{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, counts(Choose(c.wish, c.endpoints, first0), c.endpoints))
		})
	}
}

func TestOrder(t *testing.T) {
	now := 100 * ms
	begun := &Urgency{Arrived: 0, Objective: 400 * ms, Left: 50 * ms, Begun: true}
	tight := &Urgency{Arrived: 90 * ms, Objective: 100 * ms, Left: 60 * ms}
	loose := &Urgency{Arrived: 0, Objective: 900 * ms, Left: 60 * ms}
	begunLate := &Urgency{Arrived: 0, Objective: 100 * ms, Left: 50 * ms, Begun: true}
	late := &Urgency{Arrived: 0, Objective: 100 * ms, Left: 60 * ms}
	order := []*Urgency{begun, tight, loose, begunLate, late}
	for i, a := range order {
		for k, b := range order {
			must.Eq(t, sign(i-k), sign(Compare(a, b, now)), must.Sprintf("%d before %d", i, k))
		}
	}
	must.True(t, late.Late(now))
	must.False(t, begunLate.Late(now))
	must.False(t, late.Hopeless(now))
	must.True(t, late.Hopeless(241*ms))
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

// Replays a quiet moment in which four long tasks of a wide job wait: they
// must not turn away what comes behind them.
func TestWaitingLongTasksTurnNobodyAway(t *testing.T) {
	u := &Urgency{Arrived: 0, Objective: 380 * ms, Left: 200 * ms}
	must.True(t, Admit(u, Backlog{CPU: 4 * 3100, Capacity: 410_000, Mean: 160 * ms}, 0))
}

func TestAdmit(t *testing.T) {
	u := &Urgency{Arrived: 0, Objective: 160 * ms, Left: 60 * ms}
	backlog := func(cpu int64) Backlog { return Backlog{CPU: cpu, Capacity: 1000, Mean: 100 * ms} }
	must.True(t, Admit(u, backlog(0), 0))
	must.True(t, Admit(u, backlog(500), 0))
	must.False(t, Admit(u, backlog(700), 0))
	must.False(t, Admit(u, backlog(500), 90*ms), must.Sprint("the slack is nearly used up"))
	must.False(t, Admit(u, Backlog{CPU: 1, Mean: ms}, 0), must.Sprint("there is no room at all"))
}
