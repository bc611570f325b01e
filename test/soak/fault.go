package soak

import (
	"time"

	"github.com/pomelosill/pomelosill/test/faultinject"
	"github.com/pomelosill/pomelosill/test/fleet"
)

var faultTiming = faultinject.Timing{
	MinGap: 100 * time.Millisecond, MaxGap: 600 * time.Millisecond,
	MinDuration: 200 * time.Millisecond, MaxDuration: 2500 * time.Millisecond,
}

// chooseFault draws a fault.
func (w *cluster) chooseFault() faultinject.Fault {
	i := w.rng.IntN(len(w.hosts))
	h := w.hosts[i]
	e := w.dispatchers[w.rng.IntN(len(w.dispatchers))]
	kinds := []func() faultinject.Fault{
		func() faultinject.Fault { return w.processFault(e.process) },
		func() faultinject.Fault { return w.processFault(h.runner) },
		func() faultinject.Fault { return w.proxyFault("link of "+h.runner.Name, h.link) },
		func() faultinject.Fault { return w.proxyFault("calls of "+h.runner.Name, h.calls) },
		func() faultinject.Fault { return w.proxyFault("store of "+e.process.Name, e.store) },
		func() faultinject.Fault { return w.proxyFault("store of "+h.runner.Name, h.store) },
		func() faultinject.Fault { return faultinject.StoreFault(w.rng, w.store) },
		func() faultinject.Fault {
			return faultinject.EndpointFault(w.rng, h.runner.Name, h.endpoint, &h.faults)
		},
	}
	return kinds[w.rng.IntN(len(kinds))]()
}

func (w *cluster) processFault(p *fleet.Process) faultinject.Fault {
	start := func() { p.Start(w.t) }
	switch w.rng.IntN(4) {
	case 0:
		return faultinject.NewFault("kill "+p.Name, p.Kill, func() { w.restart(p, start) })
	case 1:
		return faultinject.NewFault("terminate "+p.Name, p.Terminate, func() { w.restart(p, start) })
	case 2:
		return faultinject.NewFault("hang up "+p.Name, p.HangUp, faultinject.NoOp)
	}
	return faultinject.NewFault("pause "+p.Name, func() { p.Pause(w.t) }, p.Resume)
}

// restart starts a process again once it has ended.
func (w *cluster) restart(p *fleet.Process, start func()) {
	p.Resume()
	p.Kill()
	start()
}

func (w *cluster) proxyFault(name string, p *proxy) faultinject.Fault {
	heal := func() { p.setMode(forwardAll); p.closeConns() }
	switch w.rng.IntN(4) {
	case 0:
		return faultinject.NewFault("reset "+name, p.closeConns, faultinject.NoOp)
	case 1:
		return faultinject.NewFault("slow "+name, func() { p.setMode(forwardDelayed) }, func() { p.setMode(forwardAll) })
	case 2:
		return faultinject.NewFault("cut one way "+name, func() { p.setMode(dropFromClient) }, heal)
	}
	return faultinject.NewFault("silence "+name, func() { p.setMode(dropAll) }, heal)
}
