//go:build review

package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// applyTime is config_apply_ms of the deployment, and ackTime ack_timeout_ms.
	applyTime = 2 * time.Second
	ackTime   = 4 * time.Second
)

// cancelOnDroppedRoute cancels a job whose route has been dropped from the configuration
// meanwhile. The request is repeated until it is acknowledged.
func cancelOnDroppedRoute(f *fleet) (verdict, error) {
	if _, _, _, err := f.startFleet(2, 4, oneKind); err != nil {
		return verdict{}, err
	}
	id := newJobID()
	step := func(after ...int) map[string]any {
		s := map[string]any{"count": 2, "cpu": 3100, "mem_mb": 64, "estimated_ms": 5500}
		if len(after) > 0 {
			s["after"] = after
		}
		return s
	}
	body := jobBody([]int{5500, 5500, 5500}, step(), step(0), step(1))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		f.call(context.Background(), newChannel(), 1, http.MethodPost, id, body, 25*time.Second)
	}()
	time.Sleep(500 * time.Millisecond)
	if f.trouble {
		f.configure(true)
	}
	time.Sleep(applyTime + 500*time.Millisecond)
	// Without an ack, the job counts as cancelled when it has waited for one long enough.
	cancelled := time.Now().Add(ackTime)
	for time.Now().Before(cancelled) {
		status, _ := f.call(context.Background(), newChannel(), 1, http.MethodDelete, id, nil, ackTime)
		if status/100 == 2 || status == http.StatusGone {
			cancelled = time.Now()
			break
		}
		time.Sleep(time.Second)
	}
	f.rec.printf("client: the cancelling of %s is acknowledged, or has waited long enough", id)
	<-answered
	time.Sleep(300 * time.Millisecond)
	return f.afterCancel(cancelled.Add(cancelTime)), nil
}
