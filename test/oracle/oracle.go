// Package oracle judges a history of starts and answers against the promises.
// It shares no code with the product and reads only what endpoints recorded
// and what callers were told.
package oracle

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// The effects that an answer may claim.
const (
	effectDone   = "done"
	effectNotRun = "not run"
)

// The codes of requests whose body could not be read, and whose id is
// therefore not known to the one who answers.
const (
	codeMalformed = 101
	codeTooLarge  = 103
)

// Start is one start that an endpoint recorded.
type Start struct {
	Submission string
	Task       int
	Endpoint   string
	Domain     string
	StartedAt  time.Time
}

// Attempt is one request of a caller with what it was told.
type Attempt struct {
	ID string
	// Echoes is what each task must answer, in the order of the tasks.
	Echoes []string
	SentAt time.Time
	// AnsweredAt is zero when the caller got no answer.
	AnsweredAt time.Time
	// Answer is the body as received.
	Answer []byte
}

// answer is what the oracle reads of an Attempt's body.
type answer struct {
	ID     string       `json:"id"`
	Code   int          `json:"code"`
	Effect string       `json:"effect"`
	Tasks  []taskAnswer `json:"tasks"`
}

type taskAnswer struct {
	Index  int             `json:"index"`
	Code   int             `json:"code"`
	Effect string          `json:"effect"`
	Body   json.RawMessage `json:"body"`
}

// taskBody is what an endpoint answers.
type taskBody struct {
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Echo       string `json:"echo"`
}

// isUnreadRequest tells whether the answer says that the request could not be read.
func (a answer) isUnreadRequest() bool {
	return a.ID == "" && a.Effect == effectNotRun && (a.Code == codeMalformed || a.Code == codeTooLarge)
}

// taskKey names one task of a submission.
type taskKey struct {
	id    string
	index int
}

// checker collects what is broken.
type checker struct {
	starts     map[taskKey][]Start
	attempts   map[string][]Attempt
	violations []string
}

// Check returns a sentence for each way in which the history breaks a
// promise, and nothing when all hold.
func Check(starts []Start, attempts []Attempt) []string {
	j := &checker{starts: map[taskKey][]Start{}, attempts: map[string][]Attempt{}}
	for _, s := range starts {
		key := taskKey{strings.ToLower(s.Submission), s.Task}
		j.starts[key] = append(j.starts[key], s)
	}
	for _, a := range attempts {
		id := strings.ToLower(a.ID)
		j.attempts[id] = append(j.attempts[id], a)
	}
	j.checkStarts()
	for _, a := range attempts {
		j.checkAttempt(a)
	}
	sort.Strings(j.violations)
	return j.violations
}

func (j *checker) violationf(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// checkStarts finds tasks that started twice or that nobody had asked for.
func (j *checker) checkStarts() {
	for key, starts := range j.starts {
		if len(starts) > 1 {
			j.violationf("%s task %d started %d times: %s", key.id, key.index, len(starts), describeStarts(starts))
		}
		for _, s := range starts {
			if !j.submittedBefore(key, s.StartedAt) {
				j.violationf("%s task %d started though nobody had asked for it", key.id, key.index)
			}
		}
	}
}

func (j *checker) submittedBefore(key taskKey, at time.Time) bool {
	for _, a := range j.attempts[key.id] {
		if key.index < len(a.Echoes) && !a.SentAt.After(at) {
			return true
		}
	}
	return false
}

func (j *checker) checkAttempt(a Attempt) {
	if a.AnsweredAt.IsZero() {
		return
	}
	var ans answer
	if err := json.Unmarshal(a.Answer, &ans); err != nil {
		j.violationf("%s: unreadable answer %q: %v", a.ID, a.Answer, err)
		return
	}
	if !strings.EqualFold(ans.ID, a.ID) && !ans.isUnreadRequest() {
		j.violationf("%s: got the answer to %s", a.ID, ans.ID)
		return
	}
	if (ans.Code == 0) != (ans.Effect == effectDone) {
		j.violationf("%s: code %d with effect %q", a.ID, ans.Code, ans.Effect)
	}
	if ans.Code == 0 {
		j.checkComplete(a, ans)
		return
	}
	j.checkFailed(a, ans)
}

// checkComplete checks an answer that claims that everything is done.
func (j *checker) checkComplete(a Attempt, ans answer) {
	if len(ans.Tasks) != len(a.Echoes) {
		j.violationf("%s: %d of %d tasks in a whole answer", a.ID, len(ans.Tasks), len(a.Echoes))
		return
	}
	for i, t := range ans.Tasks {
		if t.Index != i || t.Code != 0 {
			j.violationf("%s: task %d in a whole answer has index %d and code %d", a.ID, i, t.Index, t.Code)
			continue
		}
		j.checkDone(a, t)
	}
}

// checkFailed checks the claims of an answer that is not whole.
func (j *checker) checkFailed(a Attempt, ans answer) {
	if ans.Effect == effectNotRun {
		for i := range a.Echoes {
			j.checkNotRun(a, i)
		}
	}
	for _, t := range ans.Tasks {
		if t.Code == 0 {
			j.checkDone(a, t)
		}
		if t.Effect == effectNotRun {
			j.checkNotRun(a, t.Index)
		}
	}
}

// checkDone checks that a task that is said to be done started, and that the
// body is its own.
func (j *checker) checkDone(a Attempt, t taskAnswer) {
	if t.Index < 0 || t.Index >= len(a.Echoes) {
		j.violationf("%s: answer for task %d of %d", a.ID, t.Index, len(a.Echoes))
		return
	}
	if len(j.starts[taskKey{strings.ToLower(a.ID), t.Index}]) == 0 {
		j.violationf("%s task %d is said to be done and never started", a.ID, t.Index)
	}
	var b taskBody
	if err := json.Unmarshal(t.Body, &b); err != nil {
		j.violationf("%s task %d: unreadable body %q", a.ID, t.Index, t.Body)
		return
	}
	if !strings.EqualFold(b.Submission, a.ID) || b.Task != t.Index || b.Echo != a.Echoes[t.Index] {
		j.violationf("%s task %d: got the body of %s task %d, echo %q", a.ID, t.Index, b.Submission, b.Task, b.Echo)
	}
}

// checkNotRun checks that a task that is said not to have run had not started
// by then, and did not start later but for another attempt.
func (j *checker) checkNotRun(a Attempt, index int) {
	key := taskKey{strings.ToLower(a.ID), index}
	for _, s := range j.starts[key] {
		if s.StartedAt.Before(a.AnsweredAt) {
			j.violationf("%s task %d was told \"not run\" and had started %v before at %s", a.ID, index, a.AnsweredAt.Sub(s.StartedAt), s.Endpoint)
			continue
		}
		if !j.otherAttemptMayHaveStarted(key.id, a, s.StartedAt) {
			j.violationf("%s task %d was told \"not run\" and started %v later at %s", a.ID, index, s.StartedAt.Sub(a.AnsweredAt), s.Endpoint)
		}
	}
}

// otherAttemptMayHaveStarted tells whether an attempt other than a may have led to a start at
// this time: it had been sent, and no "not run" had been its answer by then.
func (j *checker) otherAttemptMayHaveStarted(id string, a Attempt, at time.Time) bool {
	for _, o := range j.attempts[id] {
		if o.SentAt.Equal(a.SentAt) && o.AnsweredAt.Equal(a.AnsweredAt) {
			continue
		}
		if o.SentAt.After(at) {
			continue
		}
		if o.AnsweredAt.IsZero() || !o.AnsweredAt.Before(at) || !o.isRefused() {
			return true
		}
	}
	return false
}

func (a Attempt) isRefused() bool {
	var ans answer
	return json.Unmarshal(a.Answer, &ans) == nil && ans.Effect == effectNotRun
}

func describeStarts(starts []Start) string {
	var out []string
	for _, s := range starts {
		out = append(out, fmt.Sprintf("%s at %s", s.Endpoint, s.StartedAt.Format("15:04:05.000")))
	}
	return strings.Join(out, ", ")
}
