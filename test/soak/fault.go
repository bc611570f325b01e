package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	standin "github.com/pomelosill/pomelosill/internal/standin/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/fleet"
)

const (
	// shortest and longest bound the time between two faults, and how long
	// one lasts.
	shortestGap  = 100 * time.Millisecond
	longestGap   = 600 * time.Millisecond
	shortestLast = 200 * time.Millisecond
	longestLast  = 2500 * time.Millisecond
)

// fault begins and, later, ends.
type fault struct {
	name  string
	begin func()
	end   func()
}

func nothing() {}

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

// faults injects random faults until ctx ends, waits for the end of each, and
// returns their names.
func (w *world) faults(ctx context.Context) []string {
	var names []string
	var lasting sync.WaitGroup
	for ctx.Err() == nil {
		f := w.choose()
		lasts := w.between(shortestLast, longestLast)
		names = append(names, fmt.Sprintf("%s for %s", f.name, lasts.Round(time.Millisecond)))
		f.begin()
		lasting.Go(func() {
			time.Sleep(lasts)
			f.end()
		})
		time.Sleep(w.between(shortestGap, longestGap))
	}
	lasting.Wait()
	return names
}

// choose draws a fault.
func (w *world) choose() fault {
	i := w.rng.IntN(len(w.hosts))
	h := w.hosts[i]
	e := w.entries[w.rng.IntN(len(w.entries))]
	kinds := []func() fault{
		func() fault { return w.processFault(e.process) },
		func() fault { return w.processFault(h.runner) },
		func() fault { return w.proxyFault("link of "+h.runner.Name, h.link) },
		func() fault { return w.proxyFault("calls of "+h.runner.Name, h.calls) },
		func() fault { return w.proxyFault("store of "+e.process.Name, e.store) },
		func() fault { return w.proxyFault("store of "+h.runner.Name, h.store) },
		w.storeFault,
		func() fault { return w.endpointFault(h) },
	}
	return kinds[w.rng.IntN(len(kinds))]()
}

func (w *world) processFault(p *fleet.Process) fault {
	start := func() { p.Start(w.t) }
	switch w.rng.IntN(4) {
	case 0:
		return fault{"kill " + p.Name, p.Kill, func() { w.restart(p, start) }}
	case 1:
		return fault{"terminate " + p.Name, p.Term, func() { w.restart(p, start) }}
	case 2:
		return fault{"hang up " + p.Name, p.HangUp, nothing}
	}
	return fault{"pause " + p.Name, p.Stop, p.Continue}
}

// restart starts a process again once it has ended.
func (w *world) restart(p *fleet.Process, start func()) {
	p.Continue()
	p.Kill()
	start()
}

func (w *world) proxyFault(name string, p *proxy) fault {
	heal := func() { p.set(pass); p.reset() }
	switch w.rng.IntN(4) {
	case 0:
		return fault{"reset " + name, p.reset, nothing}
	case 1:
		return fault{"slow " + name, func() { p.set(slow) }, func() { p.set(pass) }}
	case 2:
		return fault{"cut one way " + name, func() { p.set(oneWay) }, heal}
	}
	return fault{"silence " + name, func() { p.set(silent) }, heal}
}

func (w *world) storeFault() fault {
	kinds := []standin.Fault{
		{Kind: standin.Outage}, {Kind: standin.Unavailable}, {Kind: standin.LoseAnswers},
		{Kind: standin.Delay, DelayMS: 300}, {Kind: standin.StaleWatch},
	}
	f := kinds[w.rng.IntN(len(kinds))]
	return fault{"store: " + string(f.Kind), func() { w.store.SetFaults(f) }, func() { w.store.SetFaults() }}
}

func (w *world) endpointFault(h *host) fault {
	sound := func() { h.setFault(platformtest.None, 0) }
	switch w.rng.IntN(5) {
	case 0:
		return fault{"reborn endpoint of " + h.runner.Name, h.endpoint.Rebirth, nothing}
	case 1:
		return fault{"stalled endpoint of " + h.runner.Name, func() { h.endpoint.Stall(true) }, func() { h.endpoint.Stall(false) }}
	case 2:
		return fault{"late orders of " + h.runner.Name, func() { h.setFault(platformtest.Late, 0.3) }, sound}
	case 3:
		return fault{"lost answers of " + h.runner.Name, func() { h.setFault(platformtest.Lost, 0.3) }, sound}
	}
	return fault{"refusing endpoint of " + h.runner.Name, func() { h.setFault(platformtest.Shed, 0.7) }, sound}
}
