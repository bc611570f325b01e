package faultinject

import "github.com/pomelosill/pomelosill/platform/platformtest"

// WithUnansweredStops returns the fault together with endpoints that leave all stops
// unanswered while it lasts: the runs of a lost dispatcher, or of lost callers, can't be
// stopped when the callers come again.
func WithUnansweredStops(f Fault, injectors []*platformtest.FaultInjector) Fault {
	leave := func(on bool) {
		for _, i := range injectors {
			i.LeaveStops(on)
		}
	}
	begin := func() {
		leave(true)
		f.Begin()
	}
	end := func() {
		f.End()
		leave(false)
	}
	return NewFault(f.Name+", stops unanswered", begin, end)
}
