package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Config holds the limits of a Scheduler.
type Config struct {
	// MaxWaiting bounds the waiting tasks of the cell.
	MaxWaiting int
	Order      OrderConfig
	Reserve    ReserveConfig
	Ejection   EjectionConfig
	Ramp       RampConfig
	Overload   OverloadConfig
	Learning   LearningConfig
	Retry      RetryConfig
}

// OrderConfig decides which of a team's jobs goes first.
type OrderConfig struct {
	// WorkWeight is how long a job is put back behind younger ones of its
	// team, for each second of its expected remaining work. At 0 the oldest
	// job goes first.
	WorkWeight float64
}

// ReserveConfig decides how many slots teams with long tasks leave to teams
// with short tasks.
type ReserveConfig struct {
	// LongRun is the mean run time above which a team's tasks are long.
	LongRun time.Duration
	// MaxShare bounds the slots left free, as a share of those in service.
	MaxShare float64
	// Fade is the time in which the recent use by teams with short tasks
	// counts for a factor of e less.
	Fade time.Duration
}

// EjectionConfig decides when an endpoint that fails its tasks gets no work.
type EjectionConfig struct {
	// MinEndings is how many tasks must have ended on an endpoint, since its
	// last ejection, before it may be ejected.
	MinEndings int
	// Threshold is the excess of the endpoint's failure rate over its teams'
	// failure rates from which it is ejected; between 0 and 1.
	Threshold float64
	// MaxShare bounds the ejected share of the cell's slots in service.
	MaxShare float64
	// Hold is the time without work after a first ejection. It doubles with
	// each further one up to MaxHold.
	Hold    time.Duration
	MaxHold time.Duration
	// Probes is how many tasks in a row, one at a time, must succeed before
	// an ejected endpoint is let back.
	Probes int
}

// RampConfig decides how an endpoint that was away gets its slots back.
type RampConfig struct {
	// Length is the time from the first slot to all slots.
	Length time.Duration
	// After is the shortest absence that leads to a ramp.
	After time.Duration
	// Refused is how long an endpoint gets no work after it refused a start.
	Refused time.Duration
}

// OverloadConfig decides when a job is refused as Overloaded.
type OverloadConfig struct {
	// DeadlineShare is the share of the time to a job's deadline within which
	// the work ahead of it must be expected to have left.
	DeadlineShare float64
}

// LearningConfig is how run times and failures are learned.
type LearningConfig struct {
	// InitialRun stands for a task's run time until one is learned.
	InitialRun time.Duration
	// MinSamples is how many run times a class needs before it is used.
	MinSamples int
	// RunWeight is the weight of a new run time in a moving mean.
	RunWeight float64
	// SpeedWeight is the weight of a new run time in an endpoint's speed.
	SpeedWeight float64
	// StragglerSlowness is the slowness from which an endpoint is ejected, or,
	// where the bound on ejections forbids it, has its slots cut in
	// proportion; 2 means twice the usual run time.
	StragglerSlowness float64
	// EndpointFailureWeight and TeamFailureWeight are the weights of a new
	// ending in the moving failure rates.
	EndpointFailureWeight float64
	TeamFailureWeight     float64
}

// RetryConfig bounds how often tasks that provably did not start are queued
// again.
type RetryConfig struct {
	// Share is how many retries each success adds to the budget.
	Share float64
	// Burst is the most that the budget holds, and what it starts with.
	Burst float64
}

// DefaultConfig returns the limits for a cell of today's size or of the size
// to design for.
func DefaultConfig() Config {
	return Config{
		MaxWaiting: 200_000,
		Order:      OrderConfig{WorkWeight: 0.5},
		Reserve:    ReserveConfig{LongRun: time.Second, MaxShare: 0.5, Fade: 30 * time.Second},
		Ejection: EjectionConfig{
			MinEndings: 3,
			Threshold:  0.5,
			MaxShare:   0.35,
			Hold:       5 * time.Second,
			MaxHold:    30 * time.Second,
			Probes:     3,
		},
		Ramp: RampConfig{
			Length:  2 * time.Second,
			After:   time.Second,
			Refused: 50 * time.Millisecond,
		},
		Overload: OverloadConfig{DeadlineShare: 0.25},
		Learning: LearningConfig{
			InitialRun:            500 * time.Millisecond,
			MinSamples:            16,
			RunWeight:             1.0 / 64,
			SpeedWeight:           1.0 / 16,
			StragglerSlowness:     2,
			EndpointFailureWeight: 1.0 / 4,
			TeamFailureWeight:     1.0 / 16,
		},
		Retry: RetryConfig{Share: 0.1, Burst: 256},
	}
}

// Validate returns a *result.Error with code SettingsValue that names the
// first bad limit.
func (c Config) Validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"MaxWaiting", c.MaxWaiting > 0},
		{"Order.WorkWeight", c.Order.WorkWeight >= 0},
		{"Reserve.LongRun", c.Reserve.LongRun > 0},
		{"Reserve.MaxShare", c.Reserve.MaxShare >= 0 && c.Reserve.MaxShare < 1},
		{"Reserve.Fade", c.Reserve.Fade > 0},
		{"Ejection.MinEndings", c.Ejection.MinEndings > 0},
		{"Ejection.Threshold", isShare(c.Ejection.Threshold)},
		{"Ejection.MaxShare", c.Ejection.MaxShare >= 0 && c.Ejection.MaxShare < 1},
		{"Ejection.Hold", c.Ejection.Hold > 0},
		{"Ejection.MaxHold", c.Ejection.MaxHold >= c.Ejection.Hold},
		{"Ejection.Probes", c.Ejection.Probes > 0},
		{"Ramp.Length", c.Ramp.Length >= 0},
		{"Ramp.After", c.Ramp.After >= 0},
		{"Ramp.Refused", c.Ramp.Refused > 0},
		{"Overload.DeadlineShare", isShare(c.Overload.DeadlineShare)},
		{"Learning.InitialRun", c.Learning.InitialRun > 0},
		{"Learning.MinSamples", c.Learning.MinSamples > 0},
		{"Learning.RunWeight", isShare(c.Learning.RunWeight)},
		{"Learning.SpeedWeight", isShare(c.Learning.SpeedWeight)},
		{"Learning.StragglerSlowness", c.Learning.StragglerSlowness > 1},
		{"Learning.EndpointFailureWeight", isShare(c.Learning.EndpointFailureWeight)},
		{"Learning.TeamFailureWeight", isShare(c.Learning.TeamFailureWeight)},
		{"Retry.Share", c.Retry.Share >= 0 && c.Retry.Share <= 1},
		{"Retry.Burst", c.Retry.Burst >= 0},
	}
	for _, check := range checks {
		if !check.ok {
			return result.Errorf(result.SettingsValue, "%s is out of range", check.name)
		}
	}
	return nil
}

// isShare tells whether v is above 0 and at most 1.
func isShare(v float64) bool { return v > 0 && v <= 1 }
