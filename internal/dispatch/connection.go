package dispatch

import (
	"net"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/intake"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

// A caller that has disconnected may have sent its job to another dispatcher. The HTTP
// server cancels a request's context when it has read the end of the connection, which a
// process that is short of processor time, or was suspended, does late. Therefore the
// connections themselves are checked wherever something depends on the caller: before a
// job is admitted or forwarded, before its tasks are ordered, and before the dispatcher's
// lease is extended at a runner that has its runs.

// callerConn is the connection on which a caller waits for the answer to a job. The zero
// value is always open.
type callerConn struct {
	// done is closed when the request has ended.
	done <-chan struct{}
	// conn is nil if the job was forwarded.
	conn net.Conn
}

// newCallerConn returns the connection of a request.
func newCallerConn(r *http.Request) callerConn {
	return callerConn{done: r.Context().Done(), conn: intake.ConnOf(r)}
}

// open reports whether the caller still waits, as far as this host has been told.
func (c callerConn) open() bool {
	select {
	case <-c.done:
		return false
	default:
		return c.conn == nil || !network.PeerClosed(c.conn)
	}
}

// addConnection adds the connection of one more caller.
func (j *job) addConnection(s *submission) {
	j.connections = append(j.connections, s.connection)
	j.openAt = s.openAt
}

// confirmCaller reports whether a caller of the job still waits, and ends the job otherwise.
// The connections are checked unless that was done since the given time. It is called with
// the lock held.
func (d *Dispatcher) confirmCaller(j *job, since time.Duration) bool {
	if j.answered {
		return false
	}
	if j.openAt >= since {
		return true
	}
	now := clock.SinceBoot()
	if slices.ContainsFunc(j.connections, callerConn.open) {
		j.openAt = now
		return true
	}
	d.log.Info("job: cancelled, its callers' connections are closed", zap.String("job", j.spec.ID), zap.Duration("age", now-j.arrivedAt),
		zap.Duration("last open", now-j.openAt), zap.Int("placed", len(j.placedTasks())))
	d.finish(j, platform.Answer{Code: result.CancelledAfterStart})
	return false
}

// confirmCallers ends the jobs with runs at a runner whose callers have disconnected, so that
// the heartbeat that is echoed next doesn't extend the lease of their runs. It is called
// with the lock held.
func (d *Dispatcher) confirmCallers(r *runner) {
	for _, t := range r.runs {
		d.confirmCaller(t.job, r.heartbeatReceivedAt)
	}
}
