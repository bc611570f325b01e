//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// otherKind crashes an endpoint of kind a under load and starts it again under its ID
// as one of kind b, while all jobs require kind a.
func otherKind(f *fleet) (verdict, error) {
	const sides, clientCount, crashes = 8, 48, 1
	_, _, endpoints, err := f.startFleet(2, sides, zoneOf, "a,r1-1")
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
	for i := range crashes {
		if f.trouble {
			f.signal(endpoints[i], syscall.SIGKILL)
			<-endpoints[i].done
			pause, _ := time.ParseDuration(os.Getenv("PAUSE"))
			time.Sleep(pause)
			if endpoints[i], err = f.startEndpoint(11+i, endpointID(i), zoneOf(i), "b,r1-1"); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(3 * time.Second)
	}
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
