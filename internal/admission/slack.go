package admission

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/policy"
)

const (
	// lowQuantile of the recent jobs of a level have less than its low slack.
	lowQuantile = 0.2
	// slackStep is the relative change of the low slack by one job. It follows a
	// change of the load within some tens to hundreds of jobs.
	slackStep = 0.05
)

// Slacks tracks the slack that most arriving jobs of a level have at least. It
// addresses routes whose jobs differ: if the wait of each job were bounded by its own
// slack alone, long jobs would be admitted behind a backlog that refuses all short ones.
type Slacks struct {
	low [policy.MaxLevels]float64
}

// Add records the slack of an arriving job.
func (s *Slacks) Add(level int, slack time.Duration) {
	low := &s.low[clampLevel(level)]
	switch {
	case slack <= 0:
	case *low == 0:
		*low = float64(slack)
	case float64(slack) < *low:
		*low *= math.Exp(-slackStep * (1 - lowQuantile))
	default:
		*low *= math.Exp(slackStep * lowQuantile)
	}
}

// Low returns the low slack of each level, zero where no job has arrived.
func (s *Slacks) Low() [policy.MaxLevels]time.Duration {
	var low [policy.MaxLevels]time.Duration
	for level := range low {
		low[level] = time.Duration(s.low[level])
	}
	return low
}
