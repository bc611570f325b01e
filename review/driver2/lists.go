//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// slowLength is how long one executor is slow, slowShare the share of the tasks that it is
	// slow to begin, and listDelay how long a list of runs is under way.
	slowLength = 7 * time.Second
	slowShare  = 0.3
	listDelay  = 20 * time.Millisecond
)

// playLists lets one of the executors be slow to begin tasks, and its lists of runs overtake
// each other.
func playLists(f *fleet, trouble bool) ([]string, error) {
	fronts, err := f.startAll(zones)
	if err != nil {
		return nil, err
	}
	for _, zone := range zones[:2] {
		if _, err := f.startRunner("side-"+zone+"-2", zone); err != nil {
			return nil, err
		}
	}
	time.Sleep(heartbeatGap)
	stop := make(chan struct{})
	f.clients.Go(func() { f.load(fronts, 4*time.Millisecond, stop) })
	time.Sleep(calmTime)
	if trouble {
		f.rec.add("disruption: %s is slow", f.executors[0].id)
		f.executors[0].slow(slowShare, listDelay)
	}
	time.Sleep(slowLength)
	f.executors[0].slow(0, 0)
	f.rec.add("disruption: ended")
	time.Sleep(time.Second)
	close(stop)
	f.clients.Wait()
	time.Sleep(500 * time.Millisecond)
	if f.jobs.Load() == 0 {
		return nil, fmt.Errorf("no job was served")
	}
	return f.overlaps(), nil
}

// slow makes the executor slow to begin a share of the tasks, with lists that are under way
// for a while.
func (e *executor) slow(share float64, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowShare, e.listDelay = share, delay
}
