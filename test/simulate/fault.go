package simulate

import (
	"time"

	"github.com/pomelosill/pomelosill/test/faultinject"
)

var faultTiming = faultinject.Timing{
	MinGap: 50 * time.Millisecond, MaxGap: 900 * time.Millisecond,
	MinDuration: 100 * time.Millisecond, MaxDuration: 3 * time.Second,
}

// slowDelay is how late a slow route is.
const slowDelay = 60 * time.Millisecond

// chooseFault draws a fault.
func (w *cluster) chooseFault() faultinject.Fault {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	d := w.dispatchers[w.rng.IntN(len(w.dispatchers))]
	kinds := []func() faultinject.Fault{
		func() faultinject.Fault { return w.processFault(d) },
		func() faultinject.Fault { return w.processFault(h.runner) },
		func() faultinject.Fault { return w.connectionFault(d.name, h.name) },
		func() faultinject.Fault { return w.connectionFault(h.name, h.endpointName()) },
		func() faultinject.Fault { return w.connectionFault(d.name, "store") },
		func() faultinject.Fault { return w.connectionFault(h.name, "store") },
		func() faultinject.Fault { return w.connectionFault(d.name, "callers") },
		func() faultinject.Fault { return faultinject.StoreFault(w.rng, w.store) },
		func() faultinject.Fault { return faultinject.EndpointFault(w.rng, h.name, h.endpoint, &h.faults) },
		w.groupFault,
	}
	return kinds[w.rng.IntN(len(kinds))]()
}

// processFault kills a process, ends it in order, or holds up all that it
// sends and receives, as happens to one that is stopped and goes on.
func (w *cluster) processFault(m *proc) faultinject.Fault {
	restart := func() {
		m.kill(true)
		w.start(m)
	}
	switch w.rng.IntN(4) {
	case 0:
		return faultinject.NewFault("kill "+m.name, func() { m.kill(true) }, restart)
	case 1:
		return faultinject.NewFault("power off "+m.name, func() { m.kill(false) }, restart)
	case 2:
		return faultinject.NewFault("terminate "+m.name, func() { m.stop() }, restart)
	}
	all := w.routesOf(m.name)
	return faultinject.NewFault("hold up "+m.name, func() { w.network.setBlocked(true, all...) }, func() { w.network.setBlocked(false, all...) })
}

// routesOf are all routes of a process or stand-in.
func (w *cluster) routesOf(name string) []route {
	var all []route
	for _, other := range w.nodeNames() {
		all = append(all, route{name, other}, route{other, name})
	}
	return all
}

func (w *cluster) nodeNames() []string {
	all := []string{"store", "callers"}
	for _, m := range w.procs {
		all = append(all, m.name)
	}
	for _, h := range w.hosts {
		all = append(all, h.endpointName())
	}
	return all
}

func (w *cluster) connectionFault(a, b string) faultinject.Fault {
	name := a + " and " + b
	there, back := route{a, b}, route{b, a}
	switch w.rng.IntN(5) {
	case 0:
		return faultinject.NewFault("reset "+name, func() { w.network.closeConns(a, b) }, faultinject.NoOp)
	case 1:
		return faultinject.NewFault("silence "+name, func() { w.network.silenceConns(a, b) }, faultinject.NoOp)
	case 2:
		return faultinject.NewFault("slow "+name, func() { w.network.setDelay(slowDelay, there, back) }, func() { w.network.setDelay(0, there, back) })
	case 3:
		return faultinject.NewFault("cut from "+a+" to "+b, func() { w.network.setBlocked(true, there) }, func() { w.network.setBlocked(false, there) })
	}
	return faultinject.NewFault("cut "+name, func() { w.network.setBlocked(true, there, back) }, func() { w.network.setBlocked(false, there, back) })
}

// groupFault kills all processes of a role, or everything, at once.
func (w *cluster) groupFault() faultinject.Fault {
	of := w.procs
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
	return faultinject.NewFault("kill "+name, begin, end)
}
