package soak

import (
	"time"

	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/faultinject"
	"github.com/pomelosill/pomelosill/test/fleet"
)

var faultTiming = faultinject.Timing{
	MinGap: 100 * time.Millisecond, MaxGap: 600 * time.Millisecond,
	MinDuration: 200 * time.Millisecond, MaxDuration: 2500 * time.Millisecond,
}

// chooseFault draws a fault.
func (c *cluster) chooseFault() faultinject.Fault {
	i := c.rng.IntN(len(c.hosts))
	h := c.hosts[i]
	d := c.dispatchers[c.rng.IntN(len(c.dispatchers))]
	kinds := []func() faultinject.Fault{
		func() faultinject.Fault { return c.processFault(d.process) },
		func() faultinject.Fault { return c.processFault(h.runner) },
		func() faultinject.Fault { return c.proxyFault("dispatcher connections of "+h.runner.Name, h.link) },
		func() faultinject.Fault { return c.proxyFault("endpoint connections of "+h.runner.Name, h.calls) },
		func() faultinject.Fault { return c.proxyFault("store connections of "+d.process.Name, d.store) },
		func() faultinject.Fault { return c.proxyFault("store connections of "+h.runner.Name, h.store) },
		func() faultinject.Fault { return faultinject.StoreFault(c.rng, c.store) },
		func() faultinject.Fault {
			return faultinject.EndpointFault(c.rng, h.runner.Name, h.endpoint, &h.faults)
		},
	}
	if c.crashes {
		kinds = append(kinds, func() faultinject.Fault {
			return faultinject.CapacityFault(c.rng, h.runner.Name, h.endpoint, h.capacity)
		})
	}
	return kinds[c.rng.IntN(len(kinds))]()
}

// stopsTiming is that of dispatchers and callers that are lost while stops are unanswered:
// callers come again before such a fault ends.
var stopsTiming = faultinject.Timing{
	MinGap: 200 * time.Millisecond, MaxGap: 1500 * time.Millisecond,
	MinDuration: 1500 * time.Millisecond, MaxDuration: 3500 * time.Millisecond,
}

// chooseStopsFault draws the loss of a dispatcher or of its callers while endpoints leave
// stops unanswered.
func (c *cluster) chooseStopsFault() faultinject.Fault {
	d := c.dispatchers[c.rng.IntN(len(c.dispatchers))]
	p := d.process
	var lost faultinject.Fault
	switch c.rng.IntN(3) {
	case 0:
		lost = faultinject.NewFault("kill "+p.Name, p.Kill, func() { c.restart(p, func() { p.Start(c.t) }) })
	case 1:
		lost = faultinject.NewFault("pause "+p.Name, func() { p.Pause(c.t) }, p.Resume)
	default:
		lost = faultinject.NewFault("reset callers of "+p.Name, d.callers.closeConns, faultinject.NoOp)
	}
	return faultinject.WithUnansweredStops(lost, c.injectors())
}

// chooseDelayFault draws calls that are late and overtake each other, or another fault.
func (c *cluster) chooseDelayFault() faultinject.Fault {
	return faultinject.ChooseDelayFault(c.rng, &c.storeDelays, c.delayedHosts(), c.chooseFault)
}

// delayedHosts returns what can be delayed at each host.
func (c *cluster) delayedHosts() []faultinject.DelayedHost {
	var all []faultinject.DelayedHost
	for _, h := range c.hosts {
		all = append(all, faultinject.DelayedHost{Name: h.runner.Name, Endpoint: h.endpoint})
	}
	return all
}

// storeLosses returns a fault for each dispatcher, in random order: it is partitioned from the
// store or turned away.
func (c *cluster) storeLosses() []faultinject.Fault {
	name, lost := "partition", dropAll
	if c.rng.IntN(2) == 0 {
		name, lost = "turn away", answerBusy
	}
	var all []faultinject.Fault
	for _, i := range c.rng.Perm(len(c.dispatchers)) {
		d := c.dispatchers[i]
		set := func(m mode) func() {
			return func() {
				d.store.setMode(m)
				d.store.closeConns()
			}
		}
		all = append(all, faultinject.NewFault(name+" "+d.process.Name, set(lost), set(forwardAll)))
	}
	return all
}

// injectors returns those of all endpoints.
func (c *cluster) injectors() []*platformtest.FaultInjector {
	var all []*platformtest.FaultInjector
	for _, h := range c.hosts {
		all = append(all, &h.faults)
	}
	return all
}

func (c *cluster) processFault(p *fleet.Process) faultinject.Fault {
	start := func() { p.Start(c.t) }
	switch c.rng.IntN(4) {
	case 0:
		return faultinject.NewFault("kill "+p.Name, p.Kill, func() { c.restart(p, start) })
	case 1:
		return faultinject.NewFault("terminate "+p.Name, p.Terminate, func() { c.restart(p, start) })
	case 2:
		return faultinject.NewFault("send SIGHUP to "+p.Name, p.HangUp, faultinject.NoOp)
	}
	return faultinject.NewFault("pause "+p.Name, func() { p.Pause(c.t) }, p.Resume)
}

// restart starts a process again after making sure that it has ended.
func (c *cluster) restart(p *fleet.Process, start func()) {
	p.Resume()
	p.Kill()
	start()
}

func (c *cluster) proxyFault(name string, p *proxy) faultinject.Fault {
	heal := func() { p.setMode(forwardAll); p.closeConns() }
	switch c.rng.IntN(4) {
	case 0:
		return faultinject.NewFault("reset "+name, p.closeConns, faultinject.NoOp)
	case 1:
		return faultinject.NewFault("slow "+name, func() { p.setMode(forwardDelayed) }, func() { p.setMode(forwardAll) })
	case 2:
		return faultinject.NewFault("drop one direction of "+name, func() { p.setMode(dropFromClient) }, heal)
	}
	return faultinject.NewFault("silence "+name, func() { p.setMode(dropAll) }, heal)
}
