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

// busyWriters makes the test binary write to its standard output without a pause, on
// this many goroutines.
var busyWriters = flag.Int("busy", 0, "goroutines that write without a pause")

// writeForever writes on n goroutines until the process ends.
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

// TestStoppedProcessDoesNothing guards against a Stop that returns while
// threads of the process still run: the threads of a busy process stop up to
// tens of milliseconds after SIGSTOP was sent, enough to start a task.
func TestStoppedProcessDoesNothing(t *testing.T) {
	program, err := os.Executable()
	must.NoError(t, err)
	p := &Process{Name: "busy", args: []string{program, "-busy=14"}, logPath: filepath.Join(t.TempDir(), "busy.log")}
	p.Start(t)
	t.Cleanup(p.Kill)
	written := func() int64 {
		info, err := os.Stat(p.logPath)
		must.NoError(t, err)
		return info.Size()
	}
	for range 20 {
		before := written()
		Eventually(t, "the process writes", func(context.Context) error {
			if written() == before {
				return errors.New("nothing new in its log")
			}
			return nil
		})
		p.Pause(t)
		atStop := written()
		time.Sleep(30 * time.Millisecond)
		must.Eq(t, atStop, written(), must.Sprint("the process wrote after Stop had returned"))
		p.Resume()
	}
}
