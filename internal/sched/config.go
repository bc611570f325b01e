package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Config holds the parameters of a Scheduler.
type Config struct {
	// MaxWaiting limits the waiting tasks of the cell.
	MaxWaiting int
	Order      OrderConfig
	Reserve    ReserveConfig
	Ejection   EjectionConfig
	Ramp       RampConfig
	Overload   OverloadConfig
	Learning   LearningConfig
	Retry      RetryConfig
}

// OrderConfig sets which of a team's jobs goes first.
type OrderConfig struct {
	// RemainingWorkWeight is by how many seconds a job is ranked behind
	// younger jobs of its team, per second of its expected remaining work. At
	// 0 the oldest job goes first.
	RemainingWorkWeight float64
}

// ReserveConfig sets how many slots teams with long tasks leave free for teams
// with short tasks.
type ReserveConfig struct {
	// LongTaskThreshold is the mean run time above which a team's tasks count
	// as long.
	LongTaskThreshold time.Duration
	// MaxFraction limits the reserved slots to a fraction of the usable slots.
	MaxFraction float64
	// DecayTime is the time in which the recorded peak demand of teams with
	// short tasks decays by a factor of e.
	DecayTime time.Duration
}

// EjectionConfig sets when an endpoint whose tasks fail is ejected, that is,
// given no tasks for a while.
type EjectionConfig struct {
	// MinCompletions is how many tasks must have completed on an endpoint
	// since its last ejection before it may be ejected for failures.
	MinCompletions int
	// Threshold is how far the endpoint's failure rate must exceed its teams'
	// failure rates for it to be ejected; above 0 and at most 1.
	Threshold float64
	// MaxFraction limits the ejected slots to a fraction of the cell's slots
	// in service.
	MaxFraction float64
	// InitialDuration is the length of the first ejection. It doubles with
	// each further one, up to MaxDuration.
	InitialDuration time.Duration
	MaxDuration     time.Duration
	// ProbeSuccesses is how many tasks in a row, one at a time, must succeed
	// before an ejected endpoint is reinstated.
	ProbeSuccesses int
}

// RampConfig sets how quickly an endpoint that was out of service is given its
// slots back.
type RampConfig struct {
	// Duration is the time from the first slot to all slots.
	Duration time.Duration
	// MinAbsence is the shortest absence after which the slots are ramped up.
	MinAbsence time.Duration
	// RefusalBackoff is how long an endpoint is given no tasks after it
	// refused a start.
	RefusalBackoff time.Duration
}

// OverloadConfig sets when a job is refused as Overloaded.
type OverloadConfig struct {
	// MaxWaitFraction is the fraction of the time to a job's deadline within
	// which the work queued ahead of it must be expected to start.
	MaxWaitFraction float64
}

// LearningConfig sets how run times and failure rates are learned.
type LearningConfig struct {
	// InitialRunTime is the assumed run time of a task until one is learned.
	InitialRunTime time.Duration
	// MinSamples is how many run times a class needs before its mean is used.
	MinSamples int
	// RunTimeWeight is the weight of a new sample in a moving mean of run
	// times.
	RunTimeWeight float64
	// SpeedWeight is the weight of a new sample in an endpoint's moving
	// slowness.
	SpeedWeight float64
	// StragglerThreshold is the slowness at which an endpoint is ejected or,
	// where the limit on ejections forbids that, has its slots reduced in
	// proportion; 2 means twice the normal run time.
	StragglerThreshold float64
	// EndpointFailureWeight and TeamFailureWeight are the weights of a new
	// completion in the moving failure rates.
	EndpointFailureWeight float64
	TeamFailureWeight     float64
}

// RetryConfig limits how often tasks that provably did not start are queued
// again.
type RetryConfig struct {
	// BudgetPerSuccess is how many retries each successful task adds to the
	// budget.
	BudgetPerSuccess float64
	// MaxBudget is the upper limit and the initial value of the budget.
	MaxBudget float64
}

// DefaultConfig returns the parameters for a cell of the present size, which
// also suit the size that the system is designed for.
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

// Validate returns a *result.Error with code SettingsValue that names the first
// parameter that is out of range.
func (c Config) Validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"MaxWaiting", c.MaxWaiting > 0},
		{"Order.RemainingWorkWeight", c.Order.RemainingWorkWeight >= 0},
		{"Reserve.LongTaskThreshold", c.Reserve.LongTaskThreshold > 0},
		{"Reserve.MaxFraction", c.Reserve.MaxFraction >= 0 && c.Reserve.MaxFraction < 1},
		{"Reserve.DecayTime", c.Reserve.DecayTime > 0},
		{"Ejection.MinCompletions", c.Ejection.MinCompletions > 0},
		{"Ejection.Threshold", isPositiveFraction(c.Ejection.Threshold)},
		{"Ejection.MaxFraction", c.Ejection.MaxFraction >= 0 && c.Ejection.MaxFraction < 1},
		{"Ejection.InitialDuration", c.Ejection.InitialDuration > 0},
		{"Ejection.MaxDuration", c.Ejection.MaxDuration >= c.Ejection.InitialDuration},
		{"Ejection.ProbeSuccesses", c.Ejection.ProbeSuccesses > 0},
		{"Ramp.Duration", c.Ramp.Duration >= 0},
		{"Ramp.MinAbsence", c.Ramp.MinAbsence >= 0},
		{"Ramp.RefusalBackoff", c.Ramp.RefusalBackoff > 0},
		{"Overload.MaxWaitFraction", isPositiveFraction(c.Overload.MaxWaitFraction)},
		{"Learning.InitialRunTime", c.Learning.InitialRunTime > 0},
		{"Learning.MinSamples", c.Learning.MinSamples > 0},
		{"Learning.RunTimeWeight", isPositiveFraction(c.Learning.RunTimeWeight)},
		{"Learning.SpeedWeight", isPositiveFraction(c.Learning.SpeedWeight)},
		{"Learning.StragglerThreshold", c.Learning.StragglerThreshold > 1},
		{"Learning.EndpointFailureWeight", isPositiveFraction(c.Learning.EndpointFailureWeight)},
		{"Learning.TeamFailureWeight", isPositiveFraction(c.Learning.TeamFailureWeight)},
		{"Retry.BudgetPerSuccess", c.Retry.BudgetPerSuccess >= 0 && c.Retry.BudgetPerSuccess <= 1},
		{"Retry.MaxBudget", c.Retry.MaxBudget >= 0},
	}
	for _, check := range checks {
		if !check.ok {
			return result.Errorf(result.SettingsValue, "scheduler configuration: %s is out of range", check.name)
		}
	}
	return nil
}

// isPositiveFraction reports whether v is above 0 and at most 1.
func isPositiveFraction(v float64) bool { return v > 0 && v <= 1 }
