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

// logTailBytes is how much of each log a failed test prints, in bytes.
const logTailBytes = 6000

// pauseTimeout bounds the time between SIGSTOP and the stop of a process's last
// thread. Threads that are busy take up to some tens of milliseconds.
const pauseTimeout = 10 * time.Second

// Process is one program that can be started again after it ended.
type Process struct {
	Name    string
	args    []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}

	// pauseMu is held until a stop is complete, so that Continue doesn't
	// come in between.
	pauseMu sync.Mutex
}

// NewProcess prepares a program; its log goes to a file in dir.
func NewProcess(dir, name, program string, args ...string) *Process {
	return &Process{
		Name:    name,
		args:    append([]string{filepath.Join(binDir, program)}, args...),
		logPath: filepath.Join(dir, name+".log"),
	}
}

// Start starts the program, also again after it ended.
func (p *Process) Start(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	must.NoError(t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(t, cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.awaitExit(time.Minute)
}

// Pause freezes the process: when it returns, no thread of it runs any more. A
// process that does not stop within stopTimeout fails the test.
func (p *Process) Pause(t *testing.T) {
	t.Helper()
	p.pauseMu.Lock()
	defer p.pauseMu.Unlock()
	p.signal(syscall.SIGSTOP)
	deadline := time.Now().Add(pauseTimeout)
	for p.Running() && !allThreadsStopped(p.pid()) {
		if time.Now().After(deadline) {
			t.Errorf("%s has running threads %v after SIGSTOP", p.Name, pauseTimeout)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Resume thaws the process.
func (p *Process) Resume() {
	p.pauseMu.Lock()
	defer p.pauseMu.Unlock()
	p.signal(syscall.SIGCONT)
}

// Terminate asks the process to shut down gracefully, and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// HangUp tells the process that its settings file has changed.
func (p *Process) HangUp() { p.signal(syscall.SIGHUP) }

// Running tells whether the process has not ended.
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

// MustExit waits for the end of the process and checks its exit status. The
// goroutines of a process that does not end go to its log.
func (p *Process) MustExit(t *testing.T, status int, within time.Duration) {
	t.Helper()
	ended := p.awaitExit(within)
	if !ended {
		p.signal(syscall.SIGQUIT)
		p.awaitExit(within)
	}
	must.True(t, ended, must.Sprintf("%s still runs after %v", p.Name, within))
	must.Eq(t, status, p.cmd.ProcessState.ExitCode(), must.Sprint(p.Name))
}

// Log returns what the process wrote so far.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

func (p *Process) signal(s syscall.Signal) {
	if !p.Running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func (p *Process) awaitExit(within time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// PrintLog prints the end of the log of a failed test.
func (p *Process) PrintLog(t *testing.T) {
	text := p.Log()
	if len(text) > logTailBytes {
		text = "... " + text[len(text)-logTailBytes:]
	}
	t.Logf("log of %s:\n%s", p.Name, strings.TrimSpace(text))
}
