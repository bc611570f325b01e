//go:build review2

// Command driver2 plays the scripts of the second review: it starts the project's programs
// on loopback addresses with stand-ins for the platform, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a script.
const timeLimit = 100 * time.Second

// scenario plays a case, with its disruption if trouble is set. It returns what breaks the
// rule, or an error if the case couldn't run.
type scenario func(f *fleet, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"evacuation": playEvacuation,
	"cancel":     playCancel,
	"drain":      playDrain,
	"unread":     playUnread,
	"stops":      playStops,
	"lists":      playLists,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rec := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := runScenario(ctx, s, rec, trouble)
	if err == nil {
		err = ctx.Err()
	}
	for _, what := range broken {
		rec.add("broken: %s", what)
	}
	switch {
	case err != nil:
		rec.add("result: the case couldn't run: %v", err)
	case len(broken) > 0:
		rec.add("result: broken, %d times; the first: %s", len(broken), broken[0])
	default:
		rec.add("result: held")
	}
	fmt.Println(rec.lines[len(rec.lines)-1])
	if writeErr := rec.write(path); writeErr != nil || err != nil {
		return exitNotRun
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

func runScenario(ctx context.Context, s scenario, rec *record, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rec.add("disruption: %t", trouble)
	f, err := newFleet(ctx, rec)
	if err != nil {
		return nil, err
	}
	defer f.end()
	return s(f, trouble)
}
