//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	drainBound = 2000 * time.Millisecond
	// foreignSequence is the number of the other writer's heartbeat.
	foreignSequence = 1000
)

// playDrain drains an executor after a heartbeat of another writer, with missing fields.
func playDrain(f *fleet, trouble bool) ([]string, error) {
	fronts, err := f.startAll(zones[:2])
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	f.clients.Go(func() { f.load(fronts, 15*time.Millisecond, stop) })
	time.Sleep(calmTime)
	e := f.executors[0]
	if trouble {
		body := e.heartbeat()
		for _, field := range []string{"version", "slots", "cold_remaining_ms"} {
			delete(body, field)
		}
		body["sequence"] = foreignSequence
		f.rec.add("disruption: heartbeat of another writer without version, slots and cold_remaining_ms, answered %d", e.send(f.ctx, body))
	}
	time.Sleep(200 * time.Millisecond)
	acked, ok := e.drain(f.ctx)
	if !ok {
		return nil, fmt.Errorf("draining was not acknowledged")
	}
	time.Sleep(6 * time.Second)
	close(stop)
	f.clients.Wait()
	if f.jobs.Load() == 0 {
		return nil, fmt.Errorf("no job was served")
	}
	var broken []string
	for _, s := range e.startsSince(acked.Add(drainBound)) {
		broken = append(broken, fmt.Sprintf("DRAIN: %s started %.3f s after the ack that its executor is draining", s.task, s.at.Sub(acked).Seconds()))
	}
	return broken, nil
}
