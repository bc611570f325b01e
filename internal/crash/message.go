package crash

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// Encode returns the message form of reports that are sent now.
func Encode(reports []Report, now time.Duration) []*pb.CrashReport {
	var all []*pb.CrashReport
	for i := range reports {
		r := &reports[i]
		m := &pb.CrashReport{Runner: r.Runner, Life: r.Incarnation, AgeUs: (now - r.At).Microseconds()}
		for _, run := range r.Runs {
			m.Runs = append(m.Runs, &pb.CrashedRun{Task: run.Task, Route: run.Route, AgeUs: run.Age.Microseconds(), Contained: run.Contained, Uncertain: run.Uncertain})
		}
		all = append(all, m)
	}
	return all
}

// Decode returns the report of a message that was received now.
func Decode(m *pb.CrashReport, now time.Duration) Report {
	r := Report{Runner: m.GetRunner(), Incarnation: m.GetLife(), At: now - decodeAge(m.GetAgeUs())}
	for _, run := range m.GetRuns() {
		r.Runs = append(r.Runs, Run{Task: run.GetTask(), Route: run.GetRoute(), Age: decodeAge(run.GetAgeUs()), Contained: run.GetContained(), Uncertain: run.GetUncertain()})
	}
	return r
}

// decodeAge returns an age from a message, at least zero and at most Retention.
func decodeAge(us int64) time.Duration {
	return time.Duration(min(max(us, 0), Retention.Microseconds())) * time.Microsecond
}
