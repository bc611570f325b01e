package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const now = time.Hour

// report returns the crash of a process with the runs.
func report(process int, runs ...Run) Report {
	return Report{Runner: "r", Incarnation: fmt.Sprint(process), At: now, Runs: runs}
}

func contained(task string) Run { return Run{Task: task, Route: "quick", Contained: true} }

func old(task string) Run { return Run{Task: task, Route: "steady", Age: time.Second} }

func uncertain(r Run) Run {
	r.Uncertain = true
	return r
}

func fresh(task string) Run { return Run{Task: task, Route: "quick", Age: freshAge / 2} }

func TestVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name    string
		reports []Report
		want    Verdict
	}{
		{"no crash", nil, Unsuspected},
		{"an older run beside others", []Report{report(1, old("t"), fresh("x"))}, Unsuspected},
		{"a run that had just begun", []Report{report(1, fresh("t"), old("x"))}, Suspect},
		{"two crashes, whatever the age", []Report{report(1, old("t")), report(2, old("t"))}, Suspect},
		{"beside contained jobs of others", []Report{report(1, old("t"), contained("x")), report(2, fresh("t"), contained("y"))}, Unsuspected},
		{"the only suspect once", []Report{report(1, contained("t"), old("x"))}, Probable},
		{"again after it was contained", []Report{report(1, fresh("t")), report(2, contained("t"))}, GivenUp},
		{"the only suspect, then not contained", []Report{report(1, contained("t")), report(2, old("t"))}, GivenUp},
		{"many crashes, but never the only suspect", []Report{report(1, old("t"), contained("a")), report(2, old("t"), contained("b")),
			report(3, old("t"), contained("c")), report(4, old("t"), contained("d"))}, GivenUp},
		{"only one of two is certain", []Report{report(1, fresh("t")), report(2, uncertain(contained("t")))}, Suspect},
		{"uncertain, an older run", []Report{report(1, uncertain(old("t")))}, Unsuspected},
		{"uncertain, though contained", []Report{report(1, uncertain(contained("t")))}, Suspect},
		{"many uncertain ones", []Report{report(1, uncertain(old("t"))), report(2, uncertain(old("t"))),
			report(3, uncertain(old("t"))), report(4, uncertain(old("t")))}, Exhausted},
	} {
		l := NewLog()
		for _, r := range tc.reports {
			l.Add(r, now)
		}
		got, crashes := l.Judge("t")
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
		must.Eq(t, len(tc.reports), crashes, must.Sprint(tc.name))
	}
}

// The same crash is reported by its runner to all dispatchers, which report it to
// each other, and after each new connection.
func TestReportOfOneCrashCountsOnce(t *testing.T) {
	l := NewLog()
	must.Len(t, 1, l.Add(report(1, contained("t")), now))
	must.SliceEmpty(t, l.Add(report(1, contained("t")), now))
	must.Len(t, 1, l.Add(report(1, contained("t"), contained("u")), now), must.Sprint("a run that is found out later"))
	_, crashes := l.Judge("t")
	must.Eq(t, 1, crashes)
}

func TestCrashesAreForgotten(t *testing.T) {
	l := NewLog()
	l.Add(report(1, contained("t")), now)
	must.SliceEmpty(t, l.Add(Report{Runner: "r", Incarnation: "2", At: now - Retention, Runs: []Run{contained("t")}}, now))
	l.Add(report(3), now+Retention)
	verdict, _ := l.Judge("t")
	must.Eq(t, Unsuspected, verdict)
	must.MapEmpty(t, l.tasks)
}

func TestNumberOfReportsIsBounded(t *testing.T) {
	l := NewLog()
	for i := range 2 * maxReports {
		l.Add(report(i, old(fmt.Sprint(i))), now)
	}
	must.LessEq(t, maxReports, len(l.entries))
	must.LessEq(t, maxReports, len(l.tasks))
}

func TestChangedSinceReturnsWhatIsNew(t *testing.T) {
	l := NewLog()
	l.Add(report(1, old("a")), now)
	changed := l.Changed()
	_, version := l.ChangedSince(0)
	l.Add(report(2, old("b")), now)
	<-changed
	reports, version := l.ChangedSince(version)
	must.Len(t, 1, reports)
	must.Eq(t, "2", reports[0].Incarnation)
	reports, _ = l.ChangedSince(version)
	must.SliceEmpty(t, reports)
}

// While all endpoints for contained jobs are down no job of the route crashes
// one, which proves nothing.
func TestRouteIsContainedUntilItsJobsAreDone(t *testing.T) {
	l := NewLog()
	l.Add(report(1, contained("t")), now)
	must.True(t, l.RouteContained("quick", now))
	l.Add(report(9, uncertain(Run{Task: "v", Route: "steady", Contained: true})), now)
	must.False(t, l.RouteContained("steady", now), must.Sprint("only a certain crash contains a route"))
	must.True(t, l.RouteContained("quick", now+containmentPeriod))
	for range minDone {
		l.ContainedJobDone("quick")
	}
	must.True(t, l.RouteContained("quick", now+containmentPeriod-1))
	must.False(t, l.RouteContained("quick", now+containmentPeriod))
	must.False(t, l.AnyRouteContained(now+containmentPeriod))
	next := report(2, contained("u"))
	next.At = now + containmentPeriod
	l.Add(next, next.At)
	must.True(t, l.RouteContained("quick", next.At+containmentPeriod), must.Sprint("counted anew"))
	must.False(t, l.RouteContained("quick", next.At+maxContainment))
}

func TestMessagesKeepReports(t *testing.T) {
	want := []Report{report(1, contained("t"), old("u"))}
	messages := Encode(want, now+time.Second)
	must.Eq(t, want[0], Decode(messages[0], now+time.Second))
	messages[0].AgeUs, messages[0].Runs[0].AgeUs = -1<<63, 1<<62
	got := Decode(messages[0], now)
	must.Eq(t, now, got.At)
	must.Eq(t, Retention, got.Runs[0].Age)
}
