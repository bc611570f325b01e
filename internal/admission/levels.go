// Package admission decides whether a dispatcher admits an arriving job while routes
// of different priority compete for capacity, and when a refused caller may return.
// It does no I/O and reads no clock; the caller passes the time and random numbers.
package admission

import "github.com/pomelosill/pomelosill/internal/policy"

// maxFigure bounds each figure of a message or sum, so that sums stay finite. It
// exceeds the CPU of any fleet, in thousandths of a core.
const maxFigure = 1 << 50

// ByLevel holds one figure for each priority level.
type ByLevel [policy.MaxLevels]float64

// DecodeLevels returns the figures of a message. Figures that can't be one are zero,
// and the excess of a sender that knows more levels counts for the last level.
func DecodeLevels(figures []float64) ByLevel {
	var out ByLevel
	for level, figure := range figures {
		out.Add(level, Bounded(figure))
	}
	return out
}

// Bounded returns a figure between zero and maxFigure: zero for one that is negative
// or not a number, and maxFigure for one that is too high or infinite.
func Bounded(figure float64) float64 {
	// The comparison is false for what is not a number.
	if figure > 0 {
		return min(figure, maxFigure)
	}
	return 0
}

// clampLevel returns the existing level that is next to the given one.
func clampLevel(level int) int { return min(max(level, 0), policy.MaxLevels-1) }

// Add adds a figure to that of a level.
func (b *ByLevel) Add(level int, figure float64) { b[clampLevel(level)] += figure }

// Plus returns the sum by level.
func (b ByLevel) Plus(o ByLevel) ByLevel {
	for level := range b {
		b[level] += o[level]
	}
	return b
}

// Times returns the figures multiplied by a factor.
func (b ByLevel) Times(factor float64) ByLevel {
	for level := range b {
		b[level] *= factor
	}
	return b
}

// AtMost returns the figures, reduced in proportion if their sum exceeds a bound.
func (b ByLevel) AtMost(total float64) ByLevel {
	if sum := b.Total(); sum > total {
		return b.Times(max(total, 0) / sum)
	}
	return b
}

// Before returns the sum of the levels that come before the given one.
func (b ByLevel) Before(level int) float64 {
	sum := 0.0
	for _, figure := range b[:clampLevel(level)] {
		sum += figure
	}
	return sum
}

// Through returns the sum of the given level and those that come before it.
func (b ByLevel) Through(level int) float64 { return b.Before(level) + b[clampLevel(level)] }

// Total returns the sum of all levels.
func (b ByLevel) Total() float64 { return b.Through(policy.MaxLevels - 1) }

// Encode returns the figures for a message, without the last ones that are zero.
func (b ByLevel) Encode() []float64 {
	n := len(b)
	for n > 0 && b[n-1] == 0 {
		n--
	}
	if n == 0 {
		return nil
	}
	return append([]float64(nil), b[:n]...)
}
