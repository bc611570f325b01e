// Package fleet runs pomelosill's programs as real processes on loopback for
// tests: it starts, kills, stops and continues them, injects faults through
// the stand-ins, submits jobs and records what callers were told.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
)

// binDir is the directory of the programs that Main built.
var binDir string

// Main builds every program, runs the tests and returns their exit status;
// call it from TestMain.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pomelosill-fleet-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = repoRoot()
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// repoRoot is the root of the repository.
func repoRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(filepath.Dir(file)))
}
