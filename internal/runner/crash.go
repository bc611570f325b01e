package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/crash"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// recordCrash records that a process of the endpoint has ended without notice
// while the runs were there, and reports it to all dispatchers: a job may come
// again through another one. Unless certain is set the runs may have ended before,
// with the endpoint's lease. The caller holds r.mu, and reports the ends of the runs
// after it.
func (r *Runner) recordCrash(s *session, incarnation string, runs []capacity.ReleasedRun, certain bool, now time.Duration) {
	if len(runs) == 0 {
		return
	}
	report := crash.Report{Runner: r.settings.Name, Incarnation: incarnation, At: s.crashTime(now)}
	for _, run := range runs {
		res := &run.Reservation
		age := max(report.At-res.StartSentAt, 0)
		r.log.Warn("run: lost in a crash of the endpoint", zap.String("task", res.Run.Task), zap.Uint64("attempt", res.Run.Attempt),
			zap.String("life", incarnation), zap.Duration("age", age), zap.Bool("contained", res.Contained), zap.Bool("certain", certain), zap.Int("runs", len(runs)))
		report.Runs = append(report.Runs, crash.Run{Task: res.Run.Task, Route: res.Route, Age: age, Contained: res.Contained, Uncertain: !certain})
	}
	r.crashes.Add(report, now)
	f := &pb.RunnerFrame{Crashes: crash.Encode([]crash.Report{report}, now)}
	for _, d := range r.dispatchers {
		// A dispatcher without a connection gets all reports with its next one.
		if d.outbox != nil {
			d.outbox.Put(f)
		}
	}
}

// encodeCrashes returns all crashes that are known.
func (r *Runner) encodeCrashes() []*pb.CrashReport {
	reports, _ := r.crashes.ChangedSince(0)
	return crash.Encode(reports, clock.SinceBoot())
}

// crashTime returns when the endpoint stopped responding: its process ended then
// at the latest.
func (s *session) crashTime(now time.Duration) time.Duration {
	if s.failingSince > 0 {
		return s.failingSince
	}
	return now
}

// crashedRuns returns the runs that were lost in a crash.
func crashedRuns(released []capacity.ReleasedRun) []capacity.ReleasedRun {
	var crashed []capacity.ReleasedRun
	for _, run := range released {
		if run.Outcome == workload.OutcomeCrashed {
			crashed = append(crashed, run)
		}
	}
	return crashed
}

// expiredRuns returns the number of runs that have ended with the endpoint's lease.
func expiredRuns(released []capacity.ReleasedRun) int {
	n := 0
	for _, run := range released {
		if run.Outcome == workload.OutcomeLeaseExpired {
			n++
		}
	}
	return n
}

// recordUnreachable records that the process from which no response came until its
// lease had expired has ended: the runs that were given up then may have been lost in
// its crash. The caller holds r.mu.
func (r *Runner) recordUnreachable(s *session, now time.Duration) {
	if !s.endpoint.Draining {
		r.recordCrash(s, s.endpoint.Incarnation(), s.unreachableRuns, false, now)
	}
	s.unreachableRuns = nil
}

// leased reports whether the endpoint's lease certainly lasts, so that its runs have
// not expired.
func (s *session) leased(now time.Duration) bool { return now < s.leasedUntil }

// processEnded handles that the endpoint's process has ended: the released runs are lost
// at the latest now.
func (r *Runner) processEnded(s *session, released []capacity.ReleasedRun, now time.Duration) {
	r.recordUnreachable(s, now)
	s.tracker.RequireSync(s.fencingToken + 1)
	if s.endpoint.Draining {
		r.reportEnds(released, result.EndpointGone)
		return
	}
	for i := range released {
		if released[i].Reservation.Begun() {
			released[i].Outcome = workload.OutcomeCrashed
		}
	}
	r.recordCrash(s, s.endpoint.Incarnation(), crashedRuns(released), s.leased(now), now)
	r.reportEnds(released, result.EndpointGone)
}

// processUnreachable handles that the endpoint's lease has expired while it did
// not respond. Whether its process has ended is not known.
func (r *Runner) processUnreachable(s *session, now time.Duration) {
	released := s.tracker.ReleaseAll(now)
	s.tracker.RequireSync(s.fencingToken + 1)
	for _, run := range released {
		if run.Reservation.Begun() {
			s.unreachableRuns = append(s.unreachableRuns, run)
		}
	}
	r.reportEnds(released, result.EndpointUnreachable)
}

func (r *Runner) reportEnds(released []capacity.ReleasedRun, code result.Code) {
	for _, run := range released {
		r.reportEnd(run, code)
	}
}
