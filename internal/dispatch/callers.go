package dispatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/intake"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// defaultCallerTimeout is how long a caller waits whose request sets no
	// deadline.
	defaultCallerTimeout = 10 * time.Second
	// firstPolicyTimeout is how long after the start of the dispatcher callers'
	// requests wait for its first policy. Reading it from the store takes a few
	// milliseconds.
	firstPolicyTimeout = 300 * time.Millisecond
	// minRandomRetryAfter and maxRandomRetryAfter bound the delay after which a refused
	// caller may retry. The delay is random, so that callers refused together
	// don't return together.
	minRandomRetryAfter = time.Second
	maxRandomRetryAfter = 4 * time.Second
	// maxLoggedPathBytes bounds what is logged of a request's path.
	maxLoggedPathBytes = 200
)

func randomRetryAfter() time.Duration {
	return minRandomRetryAfter + rand.N(maxRandomRetryAfter-minRandomRetryAfter)
}

// handleCaller serves callers' requests.
func (d *Dispatcher) handleCaller(w http.ResponseWriter, r *http.Request) {
	p := d.awaitPolicy(r.Context())
	if p == nil {
		d.refuse(w, r, "", result.Errorf(result.NoPolicy, "no configuration received yet"))
		return
	}
	s := &submission{caller: callerAddress(r), connection: newCallerConn(r), host: requestHost(r), path: r.URL.Path}
	err := s.match(p)
	if r.Method == http.MethodDelete {
		d.handleCancel(w, r, s, err)
		return
	}
	if err != nil {
		d.refuse(w, r, "", err)
		return
	}
	switch {
	case r.Method == http.MethodPost && !d.awaitListed(r.Context()):
		d.refuse(w, r, s.routeName(), result.Errorf(result.NotListed, "other dispatchers can't find this one yet"))
	case r.Method == http.MethodPost:
		d.handleSubmit(w, r, s)
	case r.Method == http.MethodGet && s.id == "":
		d.handleQueueLength(w, s.route)
	case r.Method == http.MethodGet:
		// A job's answer is only sent to its callers and not kept.
		w.WriteHeader(http.StatusGone)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// awaitPolicy returns the current policy. A dispatcher that has just started may
// not have received one: then it waits for it, at most until firstPolicyTimeout
// after its start, and returns nil if there still is none.
func (d *Dispatcher) awaitPolicy(ctx context.Context) *policy.Snapshot {
	changed := d.policy.Changed()
	p := d.policy.Current()
	remaining := d.startedAt + firstPolicyTimeout - clock.SinceBoot()
	if p != nil || remaining <= 0 {
		return p
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.policy.Current()
}

func requestHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

// callerAddress returns the network address of the caller, without the port.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// refuse answers a request that has not been admitted. The route is empty if there is
// none.
func (d *Dispatcher) refuse(w http.ResponseWriter, r *http.Request, route string, err error) {
	platform.WriteAnswer(w, d.newRefusal(r.Context(), r.URL.Path, route, err))
}

// newRefusal records the refusal of a job and returns the answer to it.
func (d *Dispatcher) newRefusal(ctx context.Context, path, route string, err error) platform.Answer {
	code := result.CodeOf(err)
	d.metrics.recordRefusal(ctx, route, code)
	a := platform.Answer{Code: code}
	if result.Describe(code).HTTPStatus == http.StatusServiceUnavailable {
		a.RetryAfter = randomRetryAfter()
	}
	fields := []zap.Field{zap.String("path", path[:min(len(path), maxLoggedPathBytes)]), zap.Uint64("policy", d.policy.Revision()), zap.String("route", route), zap.Error(err)}
	var overload *overloadError
	if errors.As(err, &overload) {
		if overload.retryAfter > 0 {
			a.RetryAfter = overload.retryAfter
		}
		fields = append(fields, overload.logFields()...)
	}
	d.log.Info("job: refused", append(fields, zap.Duration("retry after", a.RetryAfter))...)
	return a
}

// logFields returns the figures that the refusal follows from.
func (e *overloadError) logFields() []zap.Field {
	return []zap.Field{
		zap.Int("level", e.decision.Level), zap.Duration("wait", e.decision.Wait), zap.Duration("limit", e.decision.Limit),
		zap.Int64("capacity", e.decision.CapacityMilliCPU), zap.Int64("backlog", e.decision.BacklogMilliCPU),
		zap.Float64("caller demand over mean", e.decision.CallerExcess), zap.Bool("unfair", e.decision.Unfair),
	}
}

// handleSubmit admits a job, or forwards it, and answers when it has ended.
func (d *Dispatcher) handleSubmit(w http.ResponseWriter, r *http.Request, s *submission) {
	if err := s.read(r); err != nil {
		d.refuse(w, r, s.routeName(), err)
		return
	}
	intake.Complete(r)
	now := clock.SinceBoot()
	wait := platform.CallerTimeout(r)
	if wait == 0 {
		wait = defaultCallerTimeout
	}
	s.deadline = now + wait
	a, answered, err := d.serveSubmission(r.Context(), s, now)
	switch {
	case err != nil:
		d.refuse(w, r, s.routeName(), err)
	case answered:
		platform.WriteAnswer(w, a)
		d.metrics.recordAnswer(r.Context(), a, clock.SinceBoot()-now)
	}
}

// awaitAnswer waits for the answer to a job on behalf of one caller, and reports whether
// there is one. Otherwise the caller has disconnected.
func (d *Dispatcher) awaitAnswer(ctx context.Context, j *job) (platform.Answer, bool) {
	select {
	case a := <-j.answer:
		// Other callers may wait for the same answer.
		j.answer <- a
		return a, true
	case <-ctx.Done():
		d.removeCaller(j)
		return platform.Answer{}, false
	}
}

// arrive returns a new job and true, or a job that needs no admission and false: the
// running one with the same ID, or a new one that was given up.
func (d *Dispatcher) arrive(s *submission, now time.Duration) (*job, bool, error) {
	if d.cancelled.has(jobPath{s.host, s.path}) {
		return nil, false, result.Errorf(result.CancelledAfterStart, "job %s was cancelled before its request was read", s.spec.ID)
	}
	if j, found := d.jobs[s.spec.ID]; found {
		d.log.Info("job: resubmitted while it runs", zap.String("job", s.spec.ID))
		j.callerCount++
		j.addConnection(s)
		return j, false, nil
	}
	if d.refusingJobs.Load() {
		return nil, false, result.Errorf(result.ShuttingDown, "job %s is not admitted: the dispatcher is shutting down", s.spec.ID)
	}
	j := newJob(d.estimates, s.spec, s.route, now, s.deadline)
	j.callerCount, j.caller = 1, s.caller
	j.addConnection(s)
	return j, !d.applyCrashHistory(j, now), nil
}

// admitNew admits or refuses a new job.
func (d *Dispatcher) admitNew(j *job, now time.Duration) (*job, error) {
	id, route := j.spec.ID, j.route.Name
	d.load.Add(j.queuedMilliCPU(), now)
	d.contention.callers.Seen(j.caller, now)
	if d.contention.refusedJobs.Returned(id, now) {
		d.metrics.recordReturn(d.runCtx, route)
	}
	if err := d.checkServable(j, now); err != nil {
		// A need that exceeds every usable endpoint, however huge, is no load.
		// Without any, arrivals count: the share of the load must be right when
		// endpoints are back.
		if result.CodeOf(err) == result.NoEndpoint {
			if usable, _ := d.usableEndpoints(false, now); len(usable) > 0 {
				d.load.Add(-j.queuedMilliCPU(), now)
			}
		}
		if !j.mayHaveRun {
			var overload *overloadError
			if errors.As(err, &overload) {
				d.countRefused(j, now)
			}
			return nil, err
		}
		d.finish(j, platform.Answer{Code: result.StillRunning})
		return j, nil
	}
	d.jobs[id] = j
	d.addWaiting(j)
	d.countAdmitted(j, now)
	d.metrics.recordAdmission(d.runCtx, route)
	d.log.Info("job: admitted", zap.String("job", id), zap.String("route", route),
		zap.Int("tasks", j.spec.TaskCount()), zap.Duration("objective", j.objective), zap.Duration("wait", j.deadline-now))
	d.requestPass(now)
	return j, nil
}

// removeCaller removes one caller of a job, and cancels the job after its last
// caller has disconnected.
func (d *Dispatcher) removeCaller(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeCallerLocked(j)
}

// removeCallerLocked is removeCaller, called with the lock held.
func (d *Dispatcher) removeCallerLocked(j *job) {
	j.callerCount--
	if j.callerCount > 0 || j.answered {
		return
	}
	d.log.Info("job: cancelled, all callers disconnected", zap.String("job", j.spec.ID), zap.Duration("age", clock.SinceBoot()-j.arrivedAt))
	d.finish(j, platform.Answer{Code: result.CancelledAfterStart})
}

// handleQueueLength answers how many of the route's jobs have not started here.
func (d *Dispatcher) handleQueueLength(w http.ResponseWriter, route *policy.Route) {
	d.mu.Lock()
	n := 0
	for _, j := range d.jobs {
		if j.route.Name == route.Name && !j.mayHaveRun {
			n++
		}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(platform.QueueLength{Waiting: n})
}
