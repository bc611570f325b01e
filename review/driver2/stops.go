//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// longJobs is the number of jobs that run when their dispatcher is killed; the stops of
	// every fourth one are left unanswered.
	longJobs = 8
	// leaveLength is how long the executors leave stops unanswered.
	leaveLength = 4500 * time.Millisecond
	// resendDelay is the time from the loss of a channel until a job is sent again.
	resendDelay = 1300 * time.Millisecond
	// restartDelay is the time until the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// minOverlap is the time that two runs must have in common to count.
	minOverlap = 20 * time.Millisecond
)

// playStops kills a dispatcher while executors leave some stops unanswered.
func playStops(f *fleet, trouble bool) ([]string, error) {
	fronts, err := f.startAll(zones)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	f.clients.Go(func() { f.load(fronts[1:], 4*time.Millisecond, stop) })
	time.Sleep(calmTime)
	var left []string
	for i := range longJobs {
		id := newJobID()
		if i%4 == 0 {
			left = append(left, id)
		}
		f.clients.Go(func() { f.submitUntilAnswered(id, fronts) })
	}
	time.Sleep(time.Second)
	if trouble {
		f.rec.add("disruption: executors leave the stops of %v unanswered", left)
		f.leaveStops(func(task string) bool {
			id, _, _ := strings.Cut(task, ".")
			return slices.Contains(left, id)
		})
	}
	f.rec.add("disruption: %s is killed", fronts[0].name)
	_ = fronts[0].process.Process.Kill()
	<-fronts[0].exited
	time.Sleep(restartDelay)
	if err := fronts[0].restart(); err != nil {
		return nil, err
	}
	time.Sleep(leaveLength - restartDelay)
	f.leaveStops(nil)
	f.countOrders()
	close(stop)
	f.clients.Wait()
	time.Sleep(500 * time.Millisecond)
	return f.overlaps(), nil
}

// submitUntilAnswered hands in a job of one task of 4 s, at first to the first dispatcher.
// After a broken channel, no response, 502 or 504 it sends the job again to another.
func (f *fleet) submitUntilAnswered(id string, fronts []*machine) {
	body := []byte(`{"spec":"4000","best_effort":true,"steps":[{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":4000}]}`)
	for _, m := range fronts {
		f.rec.add("client: POST %s to %s", id, m.name)
		status, text := f.call(m, http.MethodPost, id, body, 10*time.Second)
		f.rec.add("client: POST %s answered %d %s", id, status, text)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendDelay)
	}
}

// leaveStops makes all executors leave the stops of some tasks unanswered, and counts the
// orders from now on if there are any.
func (f *fleet) leaveStops(of func(task string) bool) {
	for _, e := range f.executors {
		e.mu.Lock()
		e.leavesStop = of
		if of != nil {
			e.orders, e.left = 0, 0
		}
		e.mu.Unlock()
	}
}

// countOrders records which share of the orders was left unanswered.
func (f *fleet) countOrders() {
	orders, left := 0, 0
	for _, e := range f.executors {
		e.mu.Lock()
		orders, left = orders+e.orders, left+e.left
		e.mu.Unlock()
	}
	f.rec.add("executors: %d of %d orders were left unanswered since then", left, orders)
}

// overlaps returns the runs of the same task that were there at the same time.
func (f *fleet) overlaps() []string {
	byTask := map[string][]period{}
	for _, e := range f.executors {
		e.mu.Lock()
		for _, p := range e.ends {
			byTask[p.task] = append(byTask[p.task], p)
		}
		e.mu.Unlock()
	}
	var broken []string
	for task, all := range byTask {
		slices.SortFunc(all, func(a, b period) int { return a.from.Compare(b.from) })
		for i := 1; i < len(all); i++ {
			a, b := all[i-1], all[i]
			if overlap := a.to.Sub(b.from); overlap > minOverlap {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s and run %d on %s for %.3f s at the same time",
					task, a.attempt, a.executor, b.attempt, b.executor, min(overlap, b.to.Sub(b.from)).Seconds()))
			}
		}
	}
	return broken
}
