//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const cancelBound = 3000 * time.Millisecond

// playCancel cancels a job at another dispatcher than its own, which has come as the
// planned replacement of a machine and whose first write to the store got no answer.
func playCancel(f *fleet, trouble bool) ([]string, error) {
	fronts, err := f.startAll(zones[:3])
	if err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	// The replacement comes first.
	old, other := fronts[0], fronts[1]
	added, err := f.startReplacement("front-"+old.zone+"-2", old.zone, trouble)
	if err != nil {
		return nil, err
	}
	if err := f.awaitReady(added, 5*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	id := newJobID()
	body := []byte(`{"spec":"5500,300","best_effort":true,"steps":[{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":5500},{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":300,"after":[0]}]}`)
	f.clients.Go(func() {
		f.rec.add("client: POST %s to %s", id, added.name)
		status, text := f.call(added, http.MethodPost, id, body, 20*time.Second)
		f.rec.add("client: POST %s answered %d %s", id, status, text)
	})
	time.Sleep(500 * time.Millisecond)
	acked, err := f.cancelUntilAcked(other, id)
	if err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	f.rec.add("platform: SIGTERM to %s", old.name)
	_ = old.process.Process.Signal(syscall.SIGTERM)
	f.clients.Wait()
	time.Sleep(500 * time.Millisecond)
	var broken []string
	for _, e := range f.executors {
		for _, s := range e.startsSince(acked.Add(cancelBound)) {
			if strings.HasPrefix(s.task, id) {
				broken = append(broken, fmt.Sprintf("UNASKED: %s started %.3f s after the ack of its job's cancelling", s.task, s.at.Sub(acked).Seconds()))
			}
		}
	}
	return broken, nil
}

// startReplacement starts a dispatcher. With trouble the answer to its first write is lost.
func (f *fleet) startReplacement(name, zone string, trouble bool) (*machine, error) {
	if trouble {
		f.rec.add("disruption: the answer to the first write of %s will be lost", name)
		f.loseFirst = name
	}
	return f.startDispatcher(name, zone)
}

// cancelUntilAcked cancels a job as a client does: until there is a 2xx or a 410.
func (f *fleet) cancelUntilAcked(m *machine, id string) (time.Time, error) {
	for range 10 {
		f.rec.add("client: DELETE %s to %s", id, m.name)
		status, text := f.call(m, http.MethodDelete, id, nil, 2*time.Second)
		f.rec.add("client: DELETE %s answered %d %s", id, status, text)
		if status/100 == 2 || status == http.StatusGone {
			return time.Now(), nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the cancel was not acknowledged")
}
