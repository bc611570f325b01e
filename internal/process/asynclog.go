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
	// logQueueLines is the maximum number of lines that wait to be written.
	logQueueLines = 4096
	// logBatchBytes is the batch size above which no further line is added.
	logBatchBytes = 32 << 10
	// logFlushTimeout limits the wait for queued lines when the process ends.
	logFlushTimeout = 200 * time.Millisecond
)

// asyncWriter writes lines from a goroutine of its own, so that logging never
// blocks. Lines that find the queue full are dropped and counted.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// flush passes a channel from Sync that run closes when it has written the
	// queued lines.
	flush chan chan struct{}
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

// Sync waits until the queued lines have been written, at most for
// logFlushTimeout.
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

// collect adds the waiting lines to batch, and a line with the number of
// dropped lines, if any.
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

// NewAsyncLogger returns a logger that writes JSON to out and never blocks.
// level is debug, info, warn or error. Sync writes the queued lines.
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
