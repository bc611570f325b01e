package soak

import (
	"time"

	"github.com/pomelosill/pomelosill/test/fleet"
	"github.com/pomelosill/pomelosill/test/trouble"
)

var times = trouble.Times{
	ShortestGap: 100 * time.Millisecond, LongestGap: 600 * time.Millisecond,
	ShortestLast: 200 * time.Millisecond, LongestLast: 2500 * time.Millisecond,
}

// choose draws a fault.
func (w *world) choose() trouble.Fault {
	i := w.rng.IntN(len(w.hosts))
	h := w.hosts[i]
	e := w.entries[w.rng.IntN(len(w.entries))]
	kinds := []func() trouble.Fault{
		func() trouble.Fault { return w.processFault(e.process) },
		func() trouble.Fault { return w.processFault(h.runner) },
		func() trouble.Fault { return w.proxyFault("link of "+h.runner.Name, h.link) },
		func() trouble.Fault { return w.proxyFault("calls of "+h.runner.Name, h.calls) },
		func() trouble.Fault { return w.proxyFault("store of "+e.process.Name, e.store) },
		func() trouble.Fault { return w.proxyFault("store of "+h.runner.Name, h.store) },
		func() trouble.Fault { return trouble.OfStore(w.rng, w.store) },
		func() trouble.Fault { return trouble.OfEndpoint(w.rng, h.runner.Name, h.endpoint, &h.chance) },
	}
	return kinds[w.rng.IntN(len(kinds))]()
}

func (w *world) processFault(p *fleet.Process) trouble.Fault {
	start := func() { p.Start(w.t) }
	switch w.rng.IntN(4) {
	case 0:
		return trouble.New("kill "+p.Name, p.Kill, func() { w.restart(p, start) })
	case 1:
		return trouble.New("terminate "+p.Name, p.Term, func() { w.restart(p, start) })
	case 2:
		return trouble.New("hang up "+p.Name, p.HangUp, trouble.Nothing)
	}
	return trouble.New("pause "+p.Name, func() { p.Stop(w.t) }, p.Continue)
}

// restart starts a process again once it has ended.
func (w *world) restart(p *fleet.Process, start func()) {
	p.Continue()
	p.Kill()
	start()
}

func (w *world) proxyFault(name string, p *proxy) trouble.Fault {
	heal := func() { p.set(pass); p.reset() }
	switch w.rng.IntN(4) {
	case 0:
		return trouble.New("reset "+name, p.reset, trouble.Nothing)
	case 1:
		return trouble.New("slow "+name, func() { p.set(slow) }, func() { p.set(pass) })
	case 2:
		return trouble.New("cut one way "+name, func() { p.set(oneWay) }, heal)
	}
	return trouble.New("silence "+name, func() { p.set(silent) }, heal)
}
