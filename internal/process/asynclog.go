package process

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	// logQueueLines is how many lines wait for the writer at most.
	logQueueLines = 4096
	// logBatchBytes is how many bytes are written at once at most.
	logBatchBytes = 32 << 10
	// logFlushTimeout bounds the wait for the last lines at the end.
	logFlushTimeout = 200 * time.Millisecond
)

// asyncWriter hands lines to a goroutine that writes them, and drops and
// counts those that find the queue full: a log never holds work up.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, lines: make(chan []byte, logQueueLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until what is queued has been written, for a short time.
func (w *asyncWriter) Sync() error {
	done := make(chan struct{})
	timeout := time.After(logFlushTimeout)
	select {
	case w.flush <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (w *asyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(w.collect(line))
		case done := <-w.flush:
			w.write(w.collect(nil))
			close(done)
		}
	}
}

// collect adds all lines that wait, and a line about those that were dropped.
func (w *asyncWriter) collect(batch []byte) []byte {
	for len(batch) < logBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, `{"level":"warn","msg":"log: lines dropped","lines":`+strconv.FormatInt(n, 10)+"}\n"...)
	}
	return batch
}

func (w *asyncWriter) write(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
}

// NewAsyncLogger returns a JSON log that never blocks; level is debug, info,
// warn or error. Its Sync writes what is queued.
func NewAsyncLogger(out io.Writer, level string) (*zap.Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, result.Wrap(result.SettingsValue, err, "log_level")
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), newAsyncWriter(out), lv)
	return zap.New(core), nil
}
