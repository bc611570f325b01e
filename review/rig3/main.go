//go:build review3

// Command rig3 plays the script cases of the third review: it starts the
// project's programs as separate processes on loopback addresses, together with
// stand-ins for the store, the endpoints and the clients, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// cases are the plays by name.
var cases = map[string]func(*world){
	"cancel": playCancel,
}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		names := []string{}
		for n := range cases {
			names = append(names, n)
		}
		slices.Sort(names)
		fmt.Fprintf(os.Stderr, "usage: rig3 CASE RECORD, with CASE one of %s\n", strings.Join(names, ", "))
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// longest is how long a case may take.
const longest = 110 * time.Second

// play runs one case and returns the exit status.
func play(name, recordPath string) (status int) {
	record, err := os.Create(filepath.Clean(recordPath))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	time.AfterFunc(longest, func() {
		w.note("the case could not run: it took over %v", longest)
		w.close()
		os.Exit(2)
	})
	defer func() {
		if p := recover(); p != nil {
			if f, ok := p.(cannotRun); ok {
				w.note("the case could not run: %s", string(f))
				status = 2
				return
			}
			panic(p)
		}
	}()
	cases[name](w)
	return w.verdict()
}
