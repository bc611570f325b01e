// Package handover decides which arriving jobs a CPU-starved dispatcher forwards to
// other dispatchers, and to which. It does no input or output: the time and random
// numbers are passed in.
package handover

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/placement"
)

const (
	// maxTickLateness bounds what one tick adds to the lag, so that a single pause of
	// the process doesn't mark it as starved.
	maxTickLateness = 200 * time.Millisecond
	// TickInterval is the time between two ticks of a process, and lagPeriod about the time
	// over which the lag is an average.
	TickInterval = 20 * time.Millisecond
	lagPeriod    = 500 * time.Millisecond
	// lagWeight is the weight of one tick in the lag.
	lagWeight = float64(TickInterval) / float64(lagPeriod)
)

// lag is a moving average of how much later than due the ticks of a process begin.
type lag struct{ mean float64 }

// add records a tick that began late. limit is the lag above which the process is starved.
// One tick adds at most that much, as a pause of maxTickLateness exceeds a limit below 8 ms.
func (l *lag) add(late, limit time.Duration) {
	late = min(max(late, 0), maxTickLateness, time.Duration(float64(limit)/lagWeight))
	l.mean += lagWeight * (float64(late) - l.mean)
}

// value returns the average.
func (l *lag) value() time.Duration { return time.Duration(l.mean) }

const (
	// handlingsPerJob is how often the process handles a job: at its arrival, its
	// placement, the end of its runs and its answer. Each is delayed by the lag.
	handlingsPerJob = 4
	// slackFraction is the part of a job's slack that admission leaves for the
	// handling. Admission lets a job wait for the rest.
	slackFraction = 1 - placement.MaxSlackFraction
	// stopFraction is the part of the limit below which a process is no longer starved.
	// Without it, a lag near the limit would change the state at each tick.
	stopFraction = 0.5
	// defaultSlack is the slack of jobs where it is unknown.
	defaultSlack = 100 * time.Millisecond
)

// maxLag returns the lag above which a process whose jobs have a low slack is starved.
// A slack that isn't positive is unknown.
func maxLag(lowSlack time.Duration) time.Duration {
	if lowSlack <= 0 {
		lowSlack = defaultSlack
	}
	return time.Duration(slackFraction / handlingsPerJob * float64(lowSlack))
}

// MinSlack returns the smallest of the low slacks of levels that is known, or zero if none
// is.
func MinSlack(byLevel []time.Duration) time.Duration {
	smallest := time.Duration(0)
	for _, slack := range byLevel {
		if slack > 0 && (smallest == 0 || slack < smallest) {
			smallest = slack
		}
	}
	return smallest
}

// DecodeLag returns the lag from a message, which may hold any number.
func DecodeLag(microseconds int64) time.Duration {
	return time.Duration(min(max(microseconds, 0), maxTickLateness.Microseconds())) * time.Microsecond
}

// decodeLoad returns the load from a message, or zero if it can't be one.
func decodeLoad(load float64) float64 {
	if !placement.ValidLoad(load) {
		return 0
	}
	return load
}
