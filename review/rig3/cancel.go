//go:build review3

package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// outage is how long the store is down, as long as the site's longest with resets.
	outage = 4200 * time.Millisecond
	// contact is contact_ms: from then on after the outage, machines are in touch.
	contact = 3 * time.Second
)

// playCancel cancels jobs soon after the store was down and the leases ran out. The jobs are
// sent to one front and cancelled at another. A start of a task counts if it comes later than
// cancel_ms after the ack, which is later than contact_ms after the outage.
func playCancel(w *world) {
	w.build(3, 3)
	client, canceller := w.fronts[0], w.fronts[1]
	// The outage begins a second after a renewal, away from the next.
	for time.Since(w.store.lastRenewal(client.name)) > 200*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.note("the store resets all calls, and the leases run out")
		w.store.resetAll(true)
		w.store.lapse()
	}
	time.Sleep(outage)
	w.store.resetAll(false)
	w.mu.Lock()
	w.inTouchFrom = time.Now().Add(contact)
	w.mu.Unlock()
	w.note("the store serves all calls; dispatchers with a record: %v", w.store.records())
	time.Sleep(500 * time.Millisecond)
	var sent sync.WaitGroup
	for range 4 {
		j := w.newJob(900, 900, 900, 900, 900, 900, 900, 900)
		sent.Go(func() { w.call(http.MethodPost, client, j, 20*time.Second) })
		sent.Go(func() { w.cancel(canceller, j) })
		time.Sleep(50 * time.Millisecond)
	}
	sent.Wait()
	w.note("dispatchers with a record: %v", slices.Sorted(slices.Values(w.store.records())))
}

// cancel cancels a job until that is acknowledged, soon after it was sent.
func (w *world) cancel(front *machine, j *sentJob) {
	time.Sleep(400 * time.Millisecond)
	for range 10 {
		status := w.call(http.MethodDelete, front, j, 1500*time.Millisecond)
		if status/100 == 2 || status == http.StatusGone {
			w.mu.Lock()
			j.cancelAckedAt = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
