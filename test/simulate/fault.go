package simulate

import (
	"context"
	"fmt"
	"sync"
	"time"

	standin "github.com/pomelosill/pomelosill/internal/standin/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

const (
	// shortest and longest bound the time between two faults, and how long
	// one lasts.
	shortestGap  = 50 * time.Millisecond
	longestGap   = 900 * time.Millisecond
	shortestLast = 100 * time.Millisecond
	longestLast  = 3 * time.Second
	// slowBy is how late a slow route is.
	slowBy = 60 * time.Millisecond
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
	began := time.Now()
	for ctx.Err() == nil {
		f := w.choose()
		lasts := w.between(shortestLast, longestLast)
		names = append(names, fmt.Sprintf("%7.3f s, for %s: %s", time.Since(began).Seconds(), lasts.Round(time.Millisecond), f.name))
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
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	d := w.dispatchers[w.rng.IntN(len(w.dispatchers))]
	kinds := []func() fault{
		func() fault { return w.processFault(d) },
		func() fault { return w.processFault(h.runner) },
		func() fault { return w.pathFault(d.name, h.name) },
		func() fault { return w.pathFault(h.name, h.endpointPlace()) },
		func() fault { return w.pathFault(d.name, "store") },
		func() fault { return w.pathFault(h.name, "store") },
		func() fault { return w.pathFault(d.name, "callers") },
		w.storeFault,
		func() fault { return w.endpointFault(h) },
		w.everybodyFault,
	}
	return kinds[w.rng.IntN(len(kinds))]()
}

// processFault kills a process, ends it in order, or holds up all that it
// sends and receives, as happens to one that is stopped and goes on.
func (w *world) processFault(m *member) fault {
	restart := func() {
		m.kill(true)
		w.start(m)
	}
	switch w.rng.IntN(4) {
	case 0:
		return fault{"kill " + m.name, func() { m.kill(true) }, restart}
	case 1:
		return fault{"power off " + m.name, func() { m.kill(false) }, restart}
	case 2:
		return fault{"terminate " + m.name, func() { m.stop() }, restart}
	}
	all := w.routesOf(m.name)
	return fault{"hold up " + m.name, func() { w.fabric.cut(true, all...) }, func() { w.fabric.cut(false, all...) }}
}

// routesOf are all routes of a place.
func (w *world) routesOf(name string) []route {
	var all []route
	for _, other := range w.places() {
		all = append(all, route{name, other}, route{other, name})
	}
	return all
}

func (w *world) places() []string {
	all := []string{"store", "callers"}
	for _, m := range w.members {
		all = append(all, m.name)
	}
	for _, h := range w.hosts {
		all = append(all, h.endpointPlace())
	}
	return all
}

func (w *world) pathFault(a, b string) fault {
	name := a + " and " + b
	there, back := route{a, b}, route{b, a}
	switch w.rng.IntN(5) {
	case 0:
		return fault{"reset " + name, func() { w.fabric.reset(a, b) }, nothing}
	case 1:
		return fault{"silence " + name, func() { w.fabric.silence(a, b) }, nothing}
	case 2:
		return fault{"slow " + name, func() { w.fabric.delay(slowBy, there, back) }, func() { w.fabric.delay(0, there, back) }}
	case 3:
		return fault{"cut from " + a + " to " + b, func() { w.fabric.cut(true, there) }, func() { w.fabric.cut(false, there) }}
	}
	return fault{"cut " + name, func() { w.fabric.cut(true, there, back) }, func() { w.fabric.cut(false, there, back) }}
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
		return fault{"reborn endpoint of " + h.name, h.endpoint.Rebirth, nothing}
	case 1:
		return fault{"stalled endpoint of " + h.name, func() { h.endpoint.Stall(true) }, func() { h.endpoint.Stall(false) }}
	case 2:
		return fault{"late orders of " + h.name, func() { h.setFault(platformtest.Late, 0.3) }, sound}
	case 3:
		return fault{"lost answers of " + h.name, func() { h.setFault(platformtest.Lost, 0.3) }, sound}
	}
	return fault{"refusing endpoint of " + h.name, func() { h.setFault(platformtest.Shed, 0.7) }, sound}
}

// everybodyFault kills all processes of a role, or everything, at once.
func (w *world) everybodyFault() fault {
	of := w.members
	name := "everybody"
	if w.rng.IntN(2) == 0 {
		of, name = w.dispatchers, "all dispatchers"
	}
	power := w.rng.IntN(2) == 0
	return fault{"kill " + name, func() {
		for _, m := range of {
			m.kill(power)
		}
	}, func() {
		for _, m := range of {
			m.kill(true)
			w.start(m)
		}
	}}
}
