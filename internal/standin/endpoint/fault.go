package endpoint

// Faults are the active faults; POST /faults replaces all of them.
type Faults struct {
	// FailAll makes every run fail with status 500 at once.
	FailAll bool `json:"fail_all,omitempty"`
	// SlowFactor multiplies the duration of runs; zero means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Freeze accepts requests, but neither runs nor answers them while it is
	// set.
	Freeze bool `json:"freeze,omitempty"`
	// Refuse closes the connection before the body is read.
	Refuse bool `json:"refuse,omitempty"`
	// CutBefore, CutDuring and CutAfter close the connections of the next runs:
	// before the run begins, in the middle of it, and between its end and the
	// answer. They count down; a negative number affects all runs.
	CutBefore int `json:"cut_before,omitempty"`
	CutDuring int `json:"cut_during,omitempty"`
	CutAfter  int `json:"cut_after,omitempty"`
}

// consume decrements n if it is positive, and reports whether it was not zero.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
