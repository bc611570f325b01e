//go:build review

// Command standin holds the stand-ins and the scripts of the review's cases: the
// platform's store, endpoints that run tasks, clients and the operator.
package main

import (
	"fmt"
	"os"
	"strconv"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin endpoint FLAGS | standin case N")
		os.Exit(exitCannotRun)
	}
	switch os.Args[1] {
	case "endpoint":
		runEndpoint(os.Args[2:])
	case "case":
		n, err := strconv.Atoi(os.Args[2])
		if err != nil {
			os.Exit(exitCannotRun)
		}
		os.Exit(runCase(n))
	default:
		os.Exit(exitCannotRun)
	}
}
