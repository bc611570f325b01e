package endpoint

// Faults are the faults in force; POST /faults replaces them all.
type Faults struct {
	// FailAll makes every run answer status 500 at once.
	FailAll bool `json:"fail_all,omitempty"`
	// SlowFactor multiplies run times; zero stands for one.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Freeze accepts requests, and neither runs nor answers any while set.
	Freeze bool `json:"freeze,omitempty"`
	// Refuse closes the connection before the body is read.
	Refuse bool `json:"refuse,omitempty"`
	// CutBefore, CutDuring and CutAfter cut the connections of that many runs
	// before the run begins, amid the run, and between the run and its
	// answer. A negative number cuts all.
	CutBefore int `json:"cut_before,omitempty"`
	CutDuring int `json:"cut_during,omitempty"`
	CutAfter  int `json:"cut_after,omitempty"`
}

// consume uses up one of n, and tells whether there was one.
func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
