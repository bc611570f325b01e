// Package fleet runs pomelosill's programs as real processes on loopback
// addresses for tests. It starts, kills, pauses and resumes them, injects faults
// through the stand-ins, submits jobs and records the answers.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
)

// binDir is the directory of the programs built by Main.
var binDir string

// Main builds every program, runs the tests and returns their exit status. It is
// called from TestMain.
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
		fmt.Fprintln(os.Stderr, "go build ./cmd/...:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// repoRoot returns the root directory of the repository.
func repoRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(filepath.Dir(file)))
}
