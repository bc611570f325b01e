//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	evacuateBound = 5000 * time.Millisecond
	// cutLength is the length of a core_cut.
	cutLength = 5500 * time.Millisecond
	calmTime  = 5 * time.Second
)

var zones = []string{"ikeja", "lekki", "yaba", "surulere"}

// startAll starts a dispatcher and a runner in each zone, and waits until all are ready.
func (f *fleet) startAll(zones []string) ([]*machine, error) {
	var fronts []*machine
	for _, zone := range zones {
		m, err := f.startDispatcher("front-"+zone+"-1", zone)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, m)
		if _, err := f.startRunner("side-"+zone+"-1", zone); err != nil {
			return nil, err
		}
	}
	for _, m := range fronts {
		if err := f.awaitReady(m, 10*time.Second); err != nil {
			return nil, err
		}
	}
	return fronts, nil
}

// playEvacuation evacuates a zone while all dispatchers are partitioned from the store.
func playEvacuation(f *fleet, trouble bool) ([]string, error) {
	fronts, err := f.startAll(zones)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	f.clients.Go(func() { f.load(fronts, 15*time.Millisecond, stop) })
	time.Sleep(calmTime)
	if trouble {
		for _, m := range fronts {
			m.gate.setCut(true)
		}
		f.rec.add("disruption: the 4 fronts are partitioned from the store")
	}
	healed := time.Now().Add(cutLength)
	time.Sleep(100 * time.Millisecond)
	if _, err := f.operator.CompareAndSwap(f.ctx, "op/evacuate/yaba", 0, []byte("{}"), 0); err != nil {
		return nil, err
	}
	acked := time.Now()
	f.rec.add("operator: evacuation of yaba acknowledged")
	time.Sleep(time.Until(healed))
	for _, m := range fronts {
		m.gate.setCut(false)
	}
	f.rec.add("disruption: ended")
	time.Sleep(3 * time.Second)
	close(stop)
	f.clients.Wait()
	if f.jobs.Load() == 0 {
		return nil, fmt.Errorf("no job was served")
	}
	var broken []string
	for _, e := range f.executors {
		if e.zone != "yaba" {
			continue
		}
		for _, s := range e.startsSince(acked.Add(evacuateBound)) {
			broken = append(broken, fmt.Sprintf("EVAC: %s started in yaba %.3f s after the ack of its evacuation", s.task, s.at.Sub(acked).Seconds()))
		}
	}
	return broken, nil
}
