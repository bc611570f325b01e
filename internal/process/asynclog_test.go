package process

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/test/logbuf"
)

// blockingWriter blocks until it is released.
type blockingWriter struct {
	logbuf.Buffer
	release chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// A reader that has stopped reading must not stop the process.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	log, err := NewAsyncLogger(out, "info")
	must.NoError(t, err)
	began := time.Now()
	for range 2 * logQueueLines {
		log.Info("job: taken in")
	}
	must.Less(t, 5*time.Second, time.Since(began))
	close(out.release)
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(out.String(), "log: lines dropped") && time.Now().Before(deadline) {
		log.Info("job: taken in")
		time.Sleep(time.Millisecond)
	}
	must.StrContains(t, out.String(), `"msg":"log: lines dropped","lines":`)
}

func TestSyncWritesWhatIsQueued(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	log, err := NewAsyncLogger(out, "info")
	must.NoError(t, err)
	log.Info("runner: stopped")
	must.NoError(t, log.Sync())
	must.StrContains(t, out.String(), "runner: stopped")
}

func TestLogLevelIsChecked(t *testing.T) {
	_, err := NewAsyncLogger(&blockingWriter{}, "loud")
	must.Error(t, err)
}
