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
	// RemainingWorkWeight is how long a job is put back behind younger ones of its
	// team, for each second of its expected remaining work. At 0 the oldest
	// job goes first.
	RemainingWorkWeight float64
}

// ReserveConfig decides how many slots teams with long tasks leave to teams
// with short tasks.
type ReserveConfig struct {
	// LongTaskThreshold is the mean run time above which a team's tasks are long.
	LongTaskThreshold time.Duration
	// MaxFraction bounds the slots left free, as a share of those in service.
	MaxFraction float64
	// DecayTime is the time in which the recent use by teams with short tasks
	// counts for a factor of e less.
	DecayTime time.Duration
}

// EjectionConfig decides when an endpoint that fails its tasks gets no work.
type EjectionConfig struct {
	// MinCompletions is how many tasks must have ended on an endpoint, since its
	// last ejection, before it may be ejected.
	MinCompletions int
	// Threshold is the excess of the endpoint's failure rate over its teams'
	// failure rates from which it is ejected; between 0 and 1.
	Threshold float64
	// MaxFraction bounds the ejected share of the cell's slots in service.
	MaxFraction float64
	// InitialDuration is the time without work after a first ejection. It doubles with
	// each further one up to MaxHold.
	InitialDuration time.Duration
	MaxDuration     time.Duration
	// ProbeSuccesses is how many tasks in a row, one at a time, must succeed before
	// an ejected endpoint is let back.
	ProbeSuccesses int
}

// RampConfig decides how an endpoint that was away gets its slots back.
type RampConfig struct {
	// Duration is the time from the first slot to all slots.
	Duration time.Duration
	// MinAbsence is the shortest absence that leads to a ramp.
	MinAbsence time.Duration
	// RefusalBackoff is how long an endpoint gets no work after it refused a start.
	RefusalBackoff time.Duration
}

// OverloadConfig decides when a job is refused as Overloaded.
type OverloadConfig struct {
	// MaxWaitFraction is the share of the time to a job's deadline within which
	// the work ahead of it must be expected to have left.
	MaxWaitFraction float64
}

// LearningConfig is how run times and failures are learned.
type LearningConfig struct {
	// InitialRunTime stands for a task's run time until one is learned.
	InitialRunTime time.Duration
	// MinSamples is how many run times a class needs before it is used.
	MinSamples int
	// RunTimeWeight is the weight of a new run time in a moving mean.
	RunTimeWeight float64
	// SpeedWeight is the weight of a new run time in an endpoint's speed.
	SpeedWeight float64
	// StragglerThreshold is the slowness from which an endpoint is ejected, or,
	// where the bound on ejections forbids it, has its slots cut in
	// proportion; 2 means twice the usual run time.
	StragglerThreshold float64
	// EndpointFailureWeight and TeamFailureWeight are the weights of a new
	// ending in the moving failure rates.
	EndpointFailureWeight float64
	TeamFailureWeight     float64
}

// RetryConfig bounds how often tasks that provably did not start are queued
// again.
type RetryConfig struct {
	// BudgetPerSuccess is how many retries each success adds to the budget.
	BudgetPerSuccess float64
	// MaxBudget is the most that the budget holds, and what it starts with.
	MaxBudget float64
}

// DefaultConfig returns the limits for a cell of today's size or of the size
// to design for.
func DefaultConfig() Config {
	return Config{
		MaxWaiting: 200_000,
		Order:      OrderConfig{RemainingWorkWeight: 0.5},
		Reserve:    ReserveConfig{LongTaskThreshold: time.Second, MaxFraction: 0.5, DecayTime: 30 * time.Second},
		Ejection: EjectionConfig{
			MinCompletions:  3,
			Threshold:       0.5,
			MaxFraction:     0.35,
			InitialDuration: 5 * time.Second,
			MaxDuration:     30 * time.Second,
			ProbeSuccesses:  3,
		},
		Ramp: RampConfig{
			Duration:       2 * time.Second,
			MinAbsence:     time.Second,
			RefusalBackoff: 50 * time.Millisecond,
		},
		Overload: OverloadConfig{MaxWaitFraction: 0.25},
		Learning: LearningConfig{
			InitialRunTime:        500 * time.Millisecond,
			MinSamples:            16,
			RunTimeWeight:         1.0 / 64,
			SpeedWeight:           1.0 / 16,
			StragglerThreshold:    2,
			EndpointFailureWeight: 1.0 / 4,
			TeamFailureWeight:     1.0 / 16,
		},
		Retry: RetryConfig{BudgetPerSuccess: 0.1, MaxBudget: 256},
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
		{"Order.WorkWeight", c.Order.RemainingWorkWeight >= 0},
		{"Reserve.LongRun", c.Reserve.LongTaskThreshold > 0},
		{"Reserve.MaxShare", c.Reserve.MaxFraction >= 0 && c.Reserve.MaxFraction < 1},
		{"Reserve.Fade", c.Reserve.DecayTime > 0},
		{"Ejection.MinEndings", c.Ejection.MinCompletions > 0},
		{"Ejection.Threshold", isPositiveFraction(c.Ejection.Threshold)},
		{"Ejection.MaxShare", c.Ejection.MaxFraction >= 0 && c.Ejection.MaxFraction < 1},
		{"Ejection.Hold", c.Ejection.InitialDuration > 0},
		{"Ejection.MaxHold", c.Ejection.MaxDuration >= c.Ejection.InitialDuration},
		{"Ejection.Probes", c.Ejection.ProbeSuccesses > 0},
		{"Ramp.Length", c.Ramp.Duration >= 0},
		{"Ramp.After", c.Ramp.MinAbsence >= 0},
		{"Ramp.Refused", c.Ramp.RefusalBackoff > 0},
		{"Overload.DeadlineShare", isPositiveFraction(c.Overload.MaxWaitFraction)},
		{"Learning.InitialRun", c.Learning.InitialRunTime > 0},
		{"Learning.MinSamples", c.Learning.MinSamples > 0},
		{"Learning.RunWeight", isPositiveFraction(c.Learning.RunTimeWeight)},
		{"Learning.SpeedWeight", isPositiveFraction(c.Learning.SpeedWeight)},
		{"Learning.StragglerSlowness", c.Learning.StragglerThreshold > 1},
		{"Learning.EndpointFailureWeight", isPositiveFraction(c.Learning.EndpointFailureWeight)},
		{"Learning.TeamFailureWeight", isPositiveFraction(c.Learning.TeamFailureWeight)},
		{"Retry.Share", c.Retry.BudgetPerSuccess >= 0 && c.Retry.BudgetPerSuccess <= 1},
		{"Retry.Burst", c.Retry.MaxBudget >= 0},
	}
	for _, check := range checks {
		if !check.ok {
			return result.Errorf(result.SettingsValue, "%s is out of range", check.name)
		}
	}
	return nil
}

// isPositiveFraction tells whether v is above 0 and at most 1.
func isPositiveFraction(v float64) bool { return v > 0 && v <= 1 }
