package simulate

import (
	"time"

	"github.com/pomelosill/pomelosill/test/trouble"
)

var times = trouble.Times{
	ShortestGap: 50 * time.Millisecond, LongestGap: 900 * time.Millisecond,
	ShortestLast: 100 * time.Millisecond, LongestLast: 3 * time.Second,
}

// slowBy is how late a slow route is.
const slowBy = 60 * time.Millisecond

// choose draws a fault.
func (w *world) choose() trouble.Fault {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	d := w.dispatchers[w.rng.IntN(len(w.dispatchers))]
	kinds := []func() trouble.Fault{
		func() trouble.Fault { return w.processFault(d) },
		func() trouble.Fault { return w.processFault(h.runner) },
		func() trouble.Fault { return w.pathFault(d.name, h.name) },
		func() trouble.Fault { return w.pathFault(h.name, h.endpointName()) },
		func() trouble.Fault { return w.pathFault(d.name, "store") },
		func() trouble.Fault { return w.pathFault(h.name, "store") },
		func() trouble.Fault { return w.pathFault(d.name, "callers") },
		func() trouble.Fault { return trouble.OfStore(w.rng, w.store) },
		func() trouble.Fault { return trouble.OfEndpoint(w.rng, h.name, h.endpoint, &h.chance) },
		w.everybodyFault,
	}
	return kinds[w.rng.IntN(len(kinds))]()
}

// processFault kills a process, ends it in order, or holds up all that it
// sends and receives, as happens to one that is stopped and goes on.
func (w *world) processFault(m *member) trouble.Fault {
	restart := func() {
		m.kill(true)
		w.start(m)
	}
	switch w.rng.IntN(4) {
	case 0:
		return trouble.New("kill "+m.name, func() { m.kill(true) }, restart)
	case 1:
		return trouble.New("power off "+m.name, func() { m.kill(false) }, restart)
	case 2:
		return trouble.New("terminate "+m.name, func() { m.stop() }, restart)
	}
	all := w.routesOf(m.name)
	return trouble.New("hold up "+m.name, func() { w.fabric.cut(true, all...) }, func() { w.fabric.cut(false, all...) })
}

// routesOf are all routes of a process or stand-in.
func (w *world) routesOf(name string) []route {
	var all []route
	for _, other := range w.names() {
		all = append(all, route{name, other}, route{other, name})
	}
	return all
}

func (w *world) names() []string {
	all := []string{"store", "callers"}
	for _, m := range w.members {
		all = append(all, m.name)
	}
	for _, h := range w.hosts {
		all = append(all, h.endpointName())
	}
	return all
}

func (w *world) pathFault(a, b string) trouble.Fault {
	name := a + " and " + b
	there, back := route{a, b}, route{b, a}
	switch w.rng.IntN(5) {
	case 0:
		return trouble.New("reset "+name, func() { w.fabric.reset(a, b) }, trouble.Nothing)
	case 1:
		return trouble.New("silence "+name, func() { w.fabric.silence(a, b) }, trouble.Nothing)
	case 2:
		return trouble.New("slow "+name, func() { w.fabric.delay(slowBy, there, back) }, func() { w.fabric.delay(0, there, back) })
	case 3:
		return trouble.New("cut from "+a+" to "+b, func() { w.fabric.cut(true, there) }, func() { w.fabric.cut(false, there) })
	}
	return trouble.New("cut "+name, func() { w.fabric.cut(true, there, back) }, func() { w.fabric.cut(false, there, back) })
}

// everybodyFault kills all processes of a role, or everything, at once.
func (w *world) everybodyFault() trouble.Fault {
	of := w.members
	name := "everybody"
	if w.rng.IntN(2) == 0 {
		of, name = w.dispatchers, "all dispatchers"
	}
	power := w.rng.IntN(2) == 0
	begin := func() {
		for _, m := range of {
			m.kill(power)
		}
	}
	end := func() {
		for _, m := range of {
			m.kill(true)
			w.start(m)
		}
	}
	return trouble.New("kill "+name, begin, end)
}
