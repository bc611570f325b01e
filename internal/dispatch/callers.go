package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// defaultMaxBodyBytes bounds the request body where the configuration sets
	// no limit.
	defaultMaxBodyBytes = 256 << 10
	// defaultCallerTimeout is how long a caller waits whose request sets no
	// deadline.
	defaultCallerTimeout = 10 * time.Second
	// firstPolicyTimeout is how long after the start of the dispatcher callers'
	// requests wait for its first policy. Reading it from the store takes a few
	// milliseconds.
	firstPolicyTimeout = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after which a refused
	// caller may retry. The delay is random, so that callers refused together
	// don't return together.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

func randomRetryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }

// handleCaller serves callers' requests.
func (d *Dispatcher) handleCaller(w http.ResponseWriter, r *http.Request) {
	p := d.awaitPolicy(r.Context())
	if p == nil {
		d.refuse(w, r, "", result.Errorf(result.NoPolicy, "no configuration received yet"))
		return
	}
	route, found := p.Config.Match(requestHost(r), r.URL.Path)
	if !found {
		d.refuse(w, r, "", result.Errorf(result.NotFound, "no route for host %q and path %q in version %d", requestHost(r), r.URL.Path, p.Config.Version))
		return
	}
	id := strings.TrimPrefix(r.URL.Path, route.Prefix)
	switch {
	case r.Method == http.MethodPost:
		d.handleSubmit(w, r, route, p.Config.Limits, id)
	case r.Method == http.MethodGet && id == "":
		d.handleQueueLength(w, route)
	case r.Method == http.MethodDelete:
		d.handleCancel(w, id)
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
	code := result.CodeOf(err)
	d.metrics.recordRefusal(r.Context(), route, code)
	a := platform.Answer{Code: code}
	if result.Describe(code).HTTPStatus == http.StatusServiceUnavailable {
		a.RetryAfter = randomRetryAfter()
	}
	fields := []zap.Field{zap.String("path", r.URL.Path), zap.Uint64("policy", d.policy.Revision()), zap.String("route", route), zap.Error(err)}
	var overload *overloadError
	if errors.As(err, &overload) {
		if overload.retryAfter > 0 {
			a.RetryAfter = overload.retryAfter
		}
		fields = append(fields, overload.logFields()...)
	}
	d.log.Info("job: refused", append(fields, zap.Duration("retry after", a.RetryAfter))...)
	platform.WriteAnswer(w, a)
}

// logFields returns the figures that the refusal follows from.
func (e *overloadError) logFields() []zap.Field {
	return []zap.Field{
		zap.Int("level", e.decision.Level), zap.Duration("wait", e.decision.Wait), zap.Duration("limit", e.decision.Limit),
		zap.Int64("capacity", e.decision.CapacityMilliCPU), zap.Int64("backlog", e.decision.BacklogMilliCPU),
		zap.Float64("caller demand over mean", e.decision.CallerExcess), zap.Bool("unfair", e.decision.Unfair),
	}
}

func readBody(r *http.Request, limits policy.Limits) ([]byte, error) {
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, result.Wrap(result.Malformed, err, "reading the request body")
	}
	if int64(len(body)) > limit {
		return nil, result.Errorf(result.TooLarge, "the request body exceeds %d bytes", limit)
	}
	return body, nil
}

// handleSubmit admits a job and answers when it has ended.
func (d *Dispatcher) handleSubmit(w http.ResponseWriter, r *http.Request, route *policy.Route, limits policy.Limits, id string) {
	body, err := readBody(r, limits)
	if err != nil {
		d.refuse(w, r, route.Name, err)
		return
	}
	spec, err := platform.DecodeJob(id, body)
	if err != nil {
		d.refuse(w, r, route.Name, err)
		return
	}
	now := clock.SinceBoot()
	wait := platform.CallerTimeout(r)
	if wait == 0 {
		wait = defaultCallerTimeout
	}
	j, err := d.admit(spec, route, callerAddress(r), now, now+wait)
	if err != nil {
		d.refuse(w, r, route.Name, err)
		return
	}
	select {
	case a := <-j.answer:
		// Other callers may wait for the same answer.
		j.answer <- a
		platform.WriteAnswer(w, a)
		d.metrics.recordAnswer(r.Context(), a, clock.SinceBoot()-now)
	case <-r.Context().Done():
		d.removeCaller(j)
	}
}

// admit admits a job, or returns the running job with the same ID.
func (d *Dispatcher) admit(spec *workload.Job, route *policy.Route, caller string, now, deadline time.Duration) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j, found := d.jobs[spec.ID]; found {
		d.log.Info("job: resubmitted while it runs", zap.String("job", spec.ID))
		j.callerCount++
		return j, nil
	}
	if d.refusingJobs.Load() {
		return nil, result.Errorf(result.ShuttingDown, "job %s is not admitted: the dispatcher is shutting down", spec.ID)
	}
	j := newJob(d.estimates, spec, route, now, deadline)
	j.callerCount, j.caller = 1, caller
	if d.judge(j, now) {
		return j, nil
	}
	d.load.Add(j.queuedMilliCPU(), now)
	d.contention.callers.Seen(caller, now)
	if d.contention.refusedJobs.Returned(spec.ID, now) {
		d.metrics.recordReturn(d.runCtx, route.Name)
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
	d.jobs[spec.ID] = j
	d.addWaiting(j)
	d.countAdmitted(j, now)
	d.metrics.recordAdmission(d.runCtx, route.Name)
	d.log.Info("job: admitted", zap.String("job", spec.ID), zap.String("route", route.Name),
		zap.Int("tasks", spec.TaskCount()), zap.Duration("objective", j.objective), zap.Duration("wait", deadline-now))
	d.requestPass(now)
	return j, nil
}

// removeCaller removes one caller of a job, and cancels the job after its last
// caller has disconnected.
func (d *Dispatcher) removeCaller(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
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

// handleCancel cancels a job that runs here.
func (d *Dispatcher) handleCancel(w http.ResponseWriter, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j, found := d.jobs[id]
	if !found {
		w.WriteHeader(http.StatusGone)
		return
	}
	d.log.Info("job: cancelled", zap.String("job", id))
	code := result.Cancelled
	if j.started() {
		code = result.CancelledAfterStart
	}
	d.finish(j, platform.Answer{Code: code})
	w.WriteHeader(http.StatusOK)
}
