// Package crash keeps the crashes of endpoints and judges by them which tasks
// crash endpoints and which were only there. Runners report crashes to their
// dispatchers, and dispatchers to each other, so that the crashes under a task
// are counted over all processes and resubmissions of its job. The package does
// no I/O; the caller passes the time.
package crash

import (
	"slices"
	"sync"
	"time"
)

const (
	// Retention is how long a crash counts. It exceeds the time within which a
	// caller sends a job again.
	Retention = 2 * time.Minute
	// maxReports and maxRuns bound the reports that are kept, and the runs of
	// one.
	maxReports = 1024
	maxRuns    = 1024
)

// Run is a run that had begun at an endpoint when it crashed.
type Run struct {
	Task  string
	Route string
	// Age is the time between its start and the crash.
	Age time.Duration
	// Contained is set if its job was known to be a possible cause of crashes, and
	// was the only such job there.
	Contained bool
	// Uncertain is set if the run may have ended before the crash.
	Uncertain bool
}

// Report describes the crash of one process of an endpoint.
type Report struct {
	Runner string
	// Incarnation identifies the process.
	Incarnation string
	At          time.Duration
	Runs        []Run
}

type processID struct{ runner, incarnation string }

// entry is a report with the version of the log at which it last changed.
type entry struct {
	report  Report
	version uint64
}

// Log holds the recent crashes. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	entries map[processID]*entry
	// order lists the entries, the oldest first.
	order []processID
	// tasks lists the entries that have a run of each task.
	tasks   map[string][]*entry
	routes  map[string]*containment
	version uint64
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{entries: map[processID]*entry{}, tasks: map[string][]*entry{}, routes: map[string]*containment{}, changed: make(chan struct{})}
}

// Add records a report and returns those of its runs that were not known. A
// process that is reported again, with other runs, has crashed once.
func (l *Log) Add(r Report, now time.Duration) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if now-r.At >= Retention || r.Incarnation == "" {
		return nil
	}
	id := processID{r.Runner, r.Incarnation}
	e := l.entries[id]
	if e == nil {
		e = &entry{report: Report{Runner: r.Runner, Incarnation: r.Incarnation, At: min(r.At, now)}}
		l.entries[id] = e
		l.order = append(l.order, id)
	}
	added := e.add(r.Runs)
	if len(added) == 0 {
		return nil
	}
	for _, run := range added {
		l.tasks[run.Task] = append(l.tasks[run.Task], e)
		if run.Contained && !run.Uncertain {
			l.contain(run.Route, e.report.At)
		}
	}
	l.version++
	e.version = l.version
	close(l.changed)
	l.changed = make(chan struct{})
	return added
}

// add adds the runs that the entry doesn't have, and returns them.
func (e *entry) add(runs []Run) []Run {
	var added []Run
	for _, run := range runs {
		known := slices.ContainsFunc(e.report.Runs, func(other Run) bool { return other.Task == run.Task })
		if run.Task == "" || known || len(e.report.Runs) >= maxRuns {
			continue
		}
		e.report.Runs = append(e.report.Runs, run)
		added = append(added, run)
	}
	return added
}

// prune removes the entries that are too old or too many.
func (l *Log) prune(now time.Duration) {
	for len(l.order) > 0 {
		e := l.entries[l.order[0]]
		if now-e.report.At < Retention && len(l.order) < maxReports {
			break
		}
		for _, run := range e.report.Runs {
			l.forget(run.Task, e)
		}
		delete(l.entries, l.order[0])
		l.order = l.order[1:]
	}
	for route, c := range l.routes {
		if c.ended(now) {
			delete(l.routes, route)
		}
	}
}

// forget removes an entry from those of a task.
func (l *Log) forget(task string, e *entry) {
	l.tasks[task] = slices.DeleteFunc(l.tasks[task], func(other *entry) bool { return other == e })
	if len(l.tasks[task]) == 0 {
		delete(l.tasks, task)
	}
}

// ChangedSince returns the reports that were added or extended after a version of
// the log, and the newest version. Version zero is before all reports.
func (l *Log) ChangedSince(version uint64) ([]Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == l.version {
		return nil, version
	}
	var reports []Report
	for _, id := range l.order {
		if e := l.entries[id]; e.version > version {
			report := e.report
			report.Runs = slices.Clone(report.Runs)
			reports = append(reports, report)
		}
	}
	return reports, l.version
}

// Changed returns a channel that is closed at the next change.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
