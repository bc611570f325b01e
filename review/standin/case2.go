//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// cancelTime is cancel_ms of the deployment.
const cancelTime = 3 * time.Second

// cancelElsewhere cancels a job. The channel of the first request is reset, and the
// retry reaches another front.
func cancelElsewhere(f *fleet) (verdict, error) {
	if _, _, _, err := f.startFleet(2, 4, oneKind); err != nil {
		return verdict{}, err
	}
	id := newJobID()
	body := jobBody([]int{5000, 3000},
		map[string]any{"count": 2, "cpu": 3100, "mem_mb": 64, "estimated_ms": 5000},
		map[string]any{"count": 2, "cpu": 3100, "mem_mb": 64, "estimated_ms": 3000, "after": []int{0}})
	answered := make(chan int, 1)
	go func() {
		status, _ := f.call(context.Background(), newChannel(), 1, http.MethodPost, id, body, 15*time.Second)
		answered <- status
	}()
	time.Sleep(500 * time.Millisecond)
	status := 0
	if f.trouble {
		f.callAndReset(1, id)
		time.Sleep(100 * time.Millisecond)
		status, _ = f.call(context.Background(), newChannel(), 2, http.MethodDelete, id, nil, 4*time.Second)
	} else {
		status, _ = f.call(context.Background(), newChannel(), 1, http.MethodDelete, id, nil, 4*time.Second)
	}
	acked := time.Now()
	if status/100 != 2 && status != http.StatusGone {
		return verdict{}, fmt.Errorf("the cancelling was answered with %d", status)
	}
	f.rec.printf("client: the cancelling of %s is acknowledged", id)
	<-answered
	time.Sleep(300 * time.Millisecond)
	return f.afterCancel(acked.Add(cancelTime)), nil
}

// callAndReset opens a channel to a front and resets it before the request is sent.
func (f *fleet) callAndReset(host int, id string) {
	c, err := net.Dial("tcp", f.address(host, portFront))
	if err != nil {
		f.rec.printf("client: DELETE %s to front-%d: %v", id, host, err)
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	f.rec.printf("client: DELETE %s to front-%d: the channel is reset", id, host)
}

// afterCancel judges UNASKED: a task that starts after the limit, or runs on then.
func (f *fleet) afterCancel(limit time.Time) verdict {
	started, running := 0, 0
	for _, r := range f.runs() {
		switch {
		case r.Start.After(limit):
			started++
			f.rec.printf("UNASKED: %s attempt %d started at %s %s after the limit", r.Task, r.Attempt, r.Endpoint, r.Start.Sub(limit).Round(time.Millisecond))
		case r.End.After(limit.Add(50 * time.Millisecond)):
			running++
			f.rec.printf("UNASKED: %s attempt %d ran on at %s until %s after the limit", r.Task, r.Attempt, r.Endpoint, r.End.Sub(limit).Round(time.Millisecond))
		}
	}
	return verdict{broken: started+running > 0, text: fmt.Sprintf("%d tasks of the cancelled job started and %d ran on after the limit", started, running)}
}
