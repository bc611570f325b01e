package capacity

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// RunState is a run's state as the runner knows it.
type RunState int

// States of a run.
const (
	// StartSent means that the start request has no response yet.
	StartSent RunState = iota
	// Running means that the endpoint has accepted or listed the run.
	Running
	// StartUnanswered means that the start request got no response; the run may
	// or may not start.
	StartUnanswered
	// Stopping means that a stop has been requested.
	Stopping
)

// Reservation is the capacity held for one run.
type Reservation struct {
	Run workload.RunID
	// Owner identifies the incarnation of the dispatcher that requested the
	// run.
	Owner     string
	Resources workload.Resources
	// Route is the route of the run's job. Contained is set if the job may crash
	// the endpoint.
	Route     string
	Contained bool
	// Overflow is set if the run was ordered for an endpoint that is suspended
	// because it is slow.
	Overflow bool
	// Estimate is the expected duration at speed 1.
	Estimate time.Duration
	State    RunState
	// StartSentAt is when the start request was sent.
	StartSentAt time.Duration
	// AcceptedAt is when the start was known to be accepted, zero before that.
	// For a run whose start request got no response, it is when the response to a
	// renewal arrived that listed the run: only a later request is answered from a
	// later state.
	AcceptedAt time.Duration
	// startReturnedAt is when the last try of the start request had a response or was given
	// up, zero before that.
	startReturnedAt time.Duration
	// FencingToken is that of the start request.
	FencingToken int64
	// revoked is set once the run must end. The endpoint's lease may be extended for it
	// until revokedAt.
	revoked   bool
	revokedAt time.Duration
	// stopUnanswered is set once a stop request got no response.
	stopUnanswered bool
	// listed is set once the endpoint has listed the run as running.
	listed bool
	// processEnded is set when the endpoint's process was replaced after the run
	// had begun there.
	processEnded bool
	// StopAcked is set once a stop request has been acknowledged, at
	// StopAckedAt.
	StopAcked   bool
	StopAckedAt time.Duration
	// lastPercent is the progress at the last speed sample, taken at
	// lastPercentAt.
	lastPercent   float64
	lastPercentAt time.Duration
	// rate is the run's speed relative to its estimate; it is valid if hasRate.
	rate    float64
	hasRate bool
	// noProgressFrom and noProgressUntil are the times of the first and the
	// last response that showed no progress since the last sample; zero while
	// there is progress.
	noProgressFrom, noProgressUntil time.Duration
	// Stalled is set once NewlyStalled has returned the run.
	Stalled bool
}

// Begun reports whether the run is known to have begun.
func (res *Reservation) Begun() bool { return res.AcceptedAt > 0 || res.listed }

// ReleasedRun is a run that no longer holds capacity.
type ReleasedRun struct {
	Reservation Reservation
	// Outcome is zero for a run whose end was not listed and is not known: it
	// never started, or its end was not reported.
	Outcome workload.Outcome
	// Elapsed is the time from the start request to the release.
	Elapsed time.Duration
}

// inferredOutcome returns the outcome of a run that the endpoint lists neither
// as running nor as ended.
func (res *Reservation) inferredOutcome() workload.Outcome {
	if res.processEnded {
		return workload.OutcomeCrashed
	}
	return 0
}
