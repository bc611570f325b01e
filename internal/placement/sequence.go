package placement

import (
	"cmp"
	"iter"
	"slices"

	"github.com/pomelosill/pomelosill/internal/policy"
)

// Waiting is a job, or an order of one, that waits for capacity.
type Waiting[T any] struct {
	Item T
	Rank Rank
	// index is the position before sorting, which orders equal ranks.
	index int
}

// InOrder yields the waiting items in the order in which they are to be started: by
// rank, except that within a class, a level below its minimum share of the started
// work comes before the levels that have theirs. It addresses contention by a level
// with more work than there is capacity for: the other levels must not starve. The
// caller counts in started what it starts between two items, so that a level is
// preferred only until it has its share. It reorders waiting.
func InOrder[T any](waiting []Waiting[T], started *StartedWork) iter.Seq[T] {
	for i := range waiting {
		waiting[i].index = i
	}
	slices.SortFunc(waiting, func(a, b Waiting[T]) int {
		if order := a.Rank.Compare(b.Rank); order != 0 {
			return order
		}
		return cmp.Compare(a.index, b.index)
	})
	return func(yield func(T) bool) {
		for rest := waiting; len(rest) > 0; {
			n := prefixLength(rest, func(r Rank) int8 { return r.class })
			if !newLevelQueues(rest[:n]).yieldAll(started, yield) {
				return
			}
			rest = rest[n:]
		}
	}
}

// prefixLength returns the number of leading items with the same value as the first.
func prefixLength[T any](waiting []Waiting[T], value func(Rank) int8) int {
	first := value(waiting[0].Rank)
	n := slices.IndexFunc(waiting, func(w Waiting[T]) bool { return value(w.Rank) != first })
	if n < 0 {
		return len(waiting)
	}
	return n
}

// levelQueues holds the waiting items of one class by level, each level in order.
type levelQueues[T any] [policy.MaxLevels][]Waiting[T]

// newLevelQueues splits sorted items of one class by level.
func newLevelQueues[T any](sorted []Waiting[T]) *levelQueues[T] {
	q := &levelQueues[T]{}
	for len(sorted) > 0 {
		n := prefixLength(sorted, func(r Rank) int8 { return r.level })
		q[sorted[0].Rank.level] = sorted[:n]
		sorted = sorted[n:]
	}
	return q
}

// yieldAll yields the items and reports whether the caller wants more.
func (q *levelQueues[T]) yieldAll(started *StartedWork, yield func(T) bool) bool {
	for {
		level := q.next(started)
		if level < 0 {
			return true
		}
		item := q[level][0].Item
		q[level] = q[level][1:]
		if !yield(item) {
			return false
		}
	}
}

// next returns the level of the next item: the first one that is below its minimum
// share, or else the first one, or -1 if no items are left.
func (q *levelQueues[T]) next(started *StartedWork) int {
	first := -1
	for level := range q {
		switch {
		case len(q[level]) == 0:
		case started.belowMinimum(level):
			return level
		case first < 0:
			first = level
		}
	}
	return first
}
