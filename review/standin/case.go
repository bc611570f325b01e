//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[int]func(*fleet) (verdict, error){
	1: foreignHeartbeat,
	2: cancelElsewhere,
	3: otherKind,
	4: cancelOnDroppedRoute,
}

// runCase runs one case and returns its exit status.
func runCase(n int) int {
	play := cases[n]
	if play == nil {
		return exitCannotRun
	}
	out, err := os.Create(filepath.Join("review", fmt.Sprint(n), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = out.Close() }()
	rec := &recorder{out: out, began: time.Now()}
	f, err := newFleet(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("cannot run: %v", err)
		return exitCannotRun
	}
	v, err := play(f)
	f.stopAll()
	switch {
	case err != nil:
		rec.printf("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitCannotRun
	case v.broken:
		rec.printf("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return exitBroken
	}
	rec.printf("held: %s", v.text)
	fmt.Println("held:", v.text)
	return exitHeld
}

// startFleet starts fronts on the hosts 1 and up and sides with their endpoints on the
// hosts 11 and up, and waits until they serve.
func (f *fleet) startFleet(fronts, sides int, labels func(i int) string) (front, side, endpoints []*process, err error) {
	f.configure(false)
	var hosts []int
	for i := range fronts {
		p, err := f.startFront(1 + i)
		if err != nil {
			return nil, nil, nil, err
		}
		front, hosts = append(front, p), append(hosts, 1+i)
	}
	for i := range sides {
		p, err := f.startSide(11 + i)
		if err != nil {
			return nil, nil, nil, err
		}
		e, err := f.startEndpoint(11+i, endpointID(i), zoneOf(i), labels(i))
		if err != nil {
			return nil, nil, nil, err
		}
		side, endpoints = append(side, p), append(endpoints, e)
	}
	if !f.awaitReady(hosts...) {
		return nil, nil, nil, fmt.Errorf("the fronts are not ready")
	}
	return front, side, endpoints, nil
}

func endpointID(i int) string { return fmt.Sprintf("i-7f3a91c%d", i) }

// oneKind returns the labels of endpoints that are all of kind a.
func oneKind(int) string { return "a,r1-1" }

// siteKinds returns the labels of endpoints of the kinds in the site file.
func siteKinds(i int) string { return []string{"a", "a", "b"}[i%3] + ",r1-1" }

// zones are those of the deployment.
var zones = []string{"ikeja", "lekki", "yaba", "surulere"}

func zoneOf(i int) string { return zones[i%len(zones)] }
