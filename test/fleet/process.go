package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// logTailBytes is the length of the end of each log that a failed test prints.
const logTailBytes = 6000

// pauseTimeout is the longest time between SIGSTOP and the stop of the last
// thread of a process. Busy threads take up to some tens of milliseconds.
const pauseTimeout = 10 * time.Second

// Process is a program that can be started again after it has exited.
type Process struct {
	Name    string
	args    []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}

	// pauseMu is held by Pause until all threads have stopped, so that a
	// concurrent Resume cannot start them again before Pause returns.
	pauseMu sync.Mutex
}

// NewProcess prepares a program that writes its log to a file in dir.
func NewProcess(dir, name, program string, args ...string) *Process {
	return &Process{
		Name:    name,
		args:    append([]string{filepath.Join(binDir, program)}, args...),
		logPath: filepath.Join(dir, name+".log"),
	}
}

// Start starts the program, for the first time or after it has exited. The
// process is killed when the test process ends.
func (p *Process) Start(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	must.NoError(t, err)
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(t, cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.awaitExit(time.Minute)
}

// Pause sends SIGSTOP to the process and waits until none of its threads runs. It
// fails the test if that takes longer than pauseTimeout.
func (p *Process) Pause(t *testing.T) {
	t.Helper()
	p.pauseMu.Lock()
	defer p.pauseMu.Unlock()
	p.signal(syscall.SIGSTOP)
	deadline := time.Now().Add(pauseTimeout)
	for p.Running() && !allThreadsStopped(p.pid()) {
		if time.Now().After(deadline) {
			t.Errorf("%s still has running threads %v after SIGSTOP", p.Name, pauseTimeout)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Resume sends SIGCONT to the process.
func (p *Process) Resume() {
	p.pauseMu.Lock()
	defer p.pauseMu.Unlock()
	p.signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, which asks the process to shut down gracefully, and
// does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// HangUp sends SIGHUP, which tells the process that its settings file has changed.
func (p *Process) HangUp() { p.signal(syscall.SIGHUP) }

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// MustExit waits until the process has exited and requires the given exit status.
// A process that does not exit in time gets SIGQUIT, which writes its goroutines
// to its log.
func (p *Process) MustExit(t *testing.T, status int, timeout time.Duration) {
	t.Helper()
	exited := p.awaitExit(timeout)
	if !exited {
		p.signal(syscall.SIGQUIT)
		p.awaitExit(timeout)
	}
	must.True(t, exited, must.Sprintf("%s is still running after %v", p.Name, timeout))
	must.Eq(t, status, p.cmd.ProcessState.ExitCode(), must.Sprint(p.Name))
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

func (p *Process) signal(sig syscall.Signal) {
	if !p.Running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func (p *Process) awaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// PrintLines prints the lines of the process's log that contain a text.
func (p *Process) PrintLines(t *testing.T, text string) {
	var found strings.Builder
	for line := range strings.Lines(p.Log()) {
		if strings.Contains(line, text) {
			found.WriteString(line)
		}
	}
	t.Logf("lines of %s with %s:\n%s", p.Name, text, found.String())
}

// PrintLog prints the end of the process's log to the test's output.
func (p *Process) PrintLog(t *testing.T) {
	text := p.Log()
	if len(text) > logTailBytes {
		text = "... " + text[len(text)-logTailBytes:]
	}
	t.Logf("log of %s:\n%s", p.Name, strings.TrimSpace(text))
}
