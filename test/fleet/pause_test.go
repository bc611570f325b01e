package fleet

import (
	"context"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// busyWriters is the number of goroutines that write to standard output without
// pause. If it is not zero, the test binary does nothing else.
var busyWriters = flag.Int("busy", 0, "goroutines that write to standard output without pause, instead of running the tests")

// writeForever writes to standard output on n goroutines until the process ends.
func writeForever(n int) {
	for range n {
		go func() {
			for {
				_, _ = os.Stdout.Write([]byte{'.'})
			}
		}()
	}
	select {}
}

// TestPauseWaitsForAllThreads guards against a Pause that returns while threads
// of the process still run. The threads of a busy process stop up to tens of
// milliseconds after SIGSTOP was sent, which is long enough to start a task.
func TestPauseWaitsForAllThreads(t *testing.T) {
	program, err := os.Executable()
	must.NoError(t, err)
	p := &Process{Name: "busy", args: []string{program, "-busy=14"}, logPath: filepath.Join(t.TempDir(), "busy.log")}
	p.Start(t)
	t.Cleanup(p.Kill)
	logSize := func() int64 {
		info, err := os.Stat(p.logPath)
		must.NoError(t, err)
		return info.Size()
	}
	for range 20 {
		before := logSize()
		Eventually(t, "the process writes", func(context.Context) error {
			if logSize() == before {
				return errors.New("the log has not grown")
			}
			return nil
		})
		p.Pause(t)
		atPause := logSize()
		time.Sleep(30 * time.Millisecond)
		must.Eq(t, atPause, logSize(), must.Sprint("the process wrote after Pause had returned"))
		p.Resume()
	}
}
