//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// darkTime is how long the endpoint that crashes is silent before it is back.
const darkTime = 200 * time.Millisecond

// otherKind crashes an endpoint of kind a under load and starts it again under its ID
// as one of kind b, while all jobs require kind a. It answers nothing in between.
func otherKind(f *fleet) (verdict, error) {
	const sides, clientCount = 10, 28
	_, _, endpoints, err := f.startFleet(2, sides, siteKinds)
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for c := range clientCount {
		clients.Go(func() {
			channel := newChannel()
			for ctx.Err() == nil {
				body := jobBody([]int{300}, map[string]any{"count": 4, "cpu": 3100, "mem_mb": 64, "estimated_ms": 300, "required_label": "a"})
				status, _ := f.call(context.Background(), channel, 1+c%2, http.MethodPost, newJobID(), body, 2*time.Second)
				if status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if f.trouble {
		f.signal(endpoints[0], syscall.SIGSTOP)
		time.Sleep(darkTime)
		f.signal(endpoints[0], syscall.SIGKILL)
		<-endpoints[0].done
		if _, err = f.startEndpoint(11, endpointID(0), zoneOf(0), "b,r1-1"); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	cancel()
	clients.Wait()
	return f.wrongLabels("a"), nil
}

// wrongLabels judges ROUTE: a start on an endpoint without the required label.
func (f *fleet) wrongLabels(label string) verdict {
	starts, wrong := 0, 0
	for _, r := range f.runs() {
		starts++
		if !slices.Contains(strings.Split(r.Labels, ","), label) {
			wrong++
			f.rec.at(r.Start, "ROUTE: %s attempt %d started at %s, which has the labels %s", r.Task, r.Attempt, r.Endpoint, r.Labels)
		}
	}
	return verdict{broken: wrong > 0, text: fmt.Sprintf("%d of %d starts at an endpoint without the required label", wrong, starts)}
}
