package crash

import "time"

// Verdict says what a task may still do.
type Verdict int

// The verdicts.
const (
	// Unsuspected means that the task may run anywhere.
	Unsuspected Verdict = iota
	// Suspect means that the task may crash endpoints: it runs contained.
	Suspect
	// Probable means that the task was the only suspect of a crash. Another start
	// would confirm it, and probably cost another endpoint.
	Probable
	// Exhausted means that the task was in so many crashes that it must not start
	// again, but may have had no part in them.
	Exhausted
	// GivenUp means that the task crashes endpoints. It must not start again, and
	// its job has failed.
	GivenUp
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Suspect:
		return "suspect"
	case Probable:
		return "probable cause"
	case Exhausted:
		return "exhausted"
	case GivenUp:
		return "given up"
	}
	return "unsuspected"
}

const (
	// freshAge is the age up to which a run is suspected of a crash beside older
	// ones: requests that crash a server do so while it reads or begins them.
	freshAge = 50 * time.Millisecond
	// minCrashes is the least number of certain crashes after which a task is given
	// up: a single one may have another cause.
	minCrashes = 2
	// suspectCrashes is the number of crashes that make a task suspect however old
	// its runs were, and maxCrashes the number after which it is not started again
	// whatever the evidence.
	suspectCrashes = 2
	maxCrashes     = 4
)

// evidence counts the crashes of endpoints during the runs of a task.
type evidence struct {
	crashes int
	// certain counts those in which the run was there for certain.
	certain int
	// sole counts those in which the task's job was the only contained one there,
	// exonerated those that are put down to the contained job of others, and fresh
	// the remaining ones in which the run had just begun.
	sole, exonerated, fresh int
}

// add counts the crash of a report during a run.
func (e *evidence) add(r *Report, run *Run) {
	e.crashes++
	if !run.Uncertain {
		e.certain++
	}
	switch {
	case run.Contained && !run.Uncertain:
		e.sole++
	case r.contained():
		e.exonerated++
	case run.Age <= freshAge:
		e.fresh++
	}
}

// contained reports whether a contained job was at the endpoint for certain.
func (r *Report) contained() bool {
	for _, run := range r.Runs {
		if run.Contained && !run.Uncertain {
			return true
		}
	}
	return false
}

// Judge returns the verdict on a task, and the number of crashes under it.
func (l *Log) Judge(task string) (Verdict, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var e evidence
	for _, entry := range l.tasks[task] {
		for i := range entry.report.Runs {
			if run := &entry.report.Runs[i]; run.Task == task {
				e.add(&entry.report, run)
			}
		}
	}
	return e.verdict(), e.crashes
}

func (e *evidence) verdict() Verdict {
	switch {
	case e.certain >= minCrashes && e.sole > 0, e.certain >= maxCrashes:
		return GivenUp
	case e.crashes >= maxCrashes:
		return Exhausted
	case e.sole > 0:
		return Probable
	case e.fresh > 0, e.crashes-e.exonerated >= suspectCrashes:
		return Suspect
	}
	return Unsuspected
}
