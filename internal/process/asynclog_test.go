package process

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/test/logbuf"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	logbuf.Buffer
	release chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// TestAsyncLoggerNeverBlocks guards against a process that blocks because the
// reader of its log has stopped reading. It must continue and count the lines
// that it drops.
func TestAsyncLoggerNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	log, err := NewAsyncLogger(out, "info")
	must.NoError(t, err)
	start := time.Now()
	for range 2 * logQueueLines {
		log.Info("job: accepted")
	}
	must.Less(t, 5*time.Second, time.Since(start))
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(out.String(), "log: lines dropped") && time.Now().Before(deadline) {
		log.Info("job: accepted")
		time.Sleep(time.Millisecond)
	}
	must.StrContains(t, out.String(), `"msg":"log: lines dropped","lines":`)
}

func TestSyncWritesQueuedLines(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	log, err := NewAsyncLogger(out, "info")
	must.NoError(t, err)
	log.Info("runner: stopped")
	must.NoError(t, log.Sync())
	must.StrContains(t, out.String(), "runner: stopped")
}

func TestInvalidLogLevelIsRefused(t *testing.T) {
	_, err := NewAsyncLogger(&blockingWriter{}, "loud")
	must.Error(t, err)
}
