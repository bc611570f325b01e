// Package oracle checks a history of starts and answers against the guarantees of
// pomelosill. It shares no code with the programs under test and uses only the
// starts that endpoints recorded and the answers that callers received.
package oracle

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Effects that an answer may report.
const (
	effectDone   = "done"
	effectNotRun = "not run"
)

// Result codes for requests whose body could not be read. Their answers have no id,
// because it is in the body.
const (
	codeMalformed = 101
	codeTooLarge  = 103
)

// Start is a task start that an endpoint recorded.
type Start struct {
	Submission string
	Task       int
	Endpoint   string
	Domain     string
	StartedAt  time.Time
}

// Attempt is one request of a caller with its answer.
type Attempt struct {
	ID string
	// Echoes holds the text that each task must return, in the order of tasks.
	Echoes []string
	SentAt time.Time
	// AnsweredAt is zero if the caller got no answer.
	AnsweredAt time.Time
	// Answer is the body of the answer as received.
	Answer []byte
}

// answer holds the fields of Attempt.Answer that the oracle checks.
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

// taskBody holds the fields of an endpoint's response that the oracle checks.
type taskBody struct {
	Submission string `json:"submission"`
	Task       int    `json:"task"`
	Echo       string `json:"echo"`
}

// isUnreadRequest reports whether the answer says that the request could not be
// read.
func (a answer) isUnreadRequest() bool {
	return a.ID == "" && a.Effect == effectNotRun && (a.Code == codeMalformed || a.Code == codeTooLarge)
}

// taskKey identifies one task of a submission.
type taskKey struct {
	id    string
	index int
}

// checker collects the violations in a history.
type checker struct {
	starts     map[taskKey][]Start
	attempts   map[string][]Attempt
	violations []string
}

// Check returns a description of each violation of a guarantee in the history, in
// sorted order.
func Check(starts []Start, attempts []Attempt) []string {
	c := &checker{starts: map[taskKey][]Start{}, attempts: map[string][]Attempt{}}
	for _, s := range starts {
		key := taskKey{strings.ToLower(s.Submission), s.Task}
		c.starts[key] = append(c.starts[key], s)
	}
	for _, a := range attempts {
		id := strings.ToLower(a.ID)
		c.attempts[id] = append(c.attempts[id], a)
	}
	c.checkStarts()
	for _, a := range attempts {
		c.checkAttempt(a)
	}
	sort.Strings(c.violations)
	return c.violations
}

func (c *checker) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkStarts finds tasks that started more than once or before any caller had
// submitted them.
func (c *checker) checkStarts() {
	for key, starts := range c.starts {
		if len(starts) > 1 {
			c.violationf("%s task %d started %d times: %s", key.id, key.index, len(starts), describeStarts(starts))
		}
		for _, s := range starts {
			if !c.submittedBefore(key, s.StartedAt) {
				c.violationf("%s task %d started although no caller had submitted it", key.id, key.index)
			}
		}
	}
}

func (c *checker) submittedBefore(key taskKey, at time.Time) bool {
	for _, a := range c.attempts[key.id] {
		if key.index < len(a.Echoes) && !a.SentAt.After(at) {
			return true
		}
	}
	return false
}

func (c *checker) checkAttempt(a Attempt) {
	if a.AnsweredAt.IsZero() {
		return
	}
	var ans answer
	if err := json.Unmarshal(a.Answer, &ans); err != nil {
		c.violationf("%s: unreadable answer %q: %v", a.ID, a.Answer, err)
		return
	}
	if !strings.EqualFold(ans.ID, a.ID) && !ans.isUnreadRequest() {
		c.violationf("%s: got the answer for %s", a.ID, ans.ID)
		return
	}
	if (ans.Code == 0) != (ans.Effect == effectDone) {
		c.violationf("%s: code %d contradicts effect %q", a.ID, ans.Code, ans.Effect)
	}
	if ans.Code == 0 {
		c.checkComplete(a, ans)
		return
	}
	c.checkFailed(a, ans)
}

// checkComplete checks an answer that reports that the whole job is done.
func (c *checker) checkComplete(a Attempt, ans answer) {
	if len(ans.Tasks) != len(a.Echoes) {
		c.violationf("%s: answer with code 0 has %d of %d tasks", a.ID, len(ans.Tasks), len(a.Echoes))
		return
	}
	for i, t := range ans.Tasks {
		if t.Index != i || t.Code != 0 {
			c.violationf("%s: task %d of an answer with code 0 has index %d and code %d", a.ID, i, t.Index, t.Code)
			continue
		}
		c.checkDone(a, t)
	}
}

// checkFailed checks what an answer with a code other than 0 reports about tasks.
func (c *checker) checkFailed(a Attempt, ans answer) {
	if ans.Effect == effectNotRun {
		for i := range a.Echoes {
			c.checkNotRun(a, i)
		}
	}
	for _, t := range ans.Tasks {
		if t.Code == 0 {
			c.checkDone(a, t)
		}
		if t.Effect == effectNotRun {
			c.checkNotRun(a, t.Index)
		}
	}
}

// checkDone checks that a task reported as done has started, and that its body
// belongs to it.
func (c *checker) checkDone(a Attempt, t taskAnswer) {
	if t.Index < 0 || t.Index >= len(a.Echoes) {
		c.violationf("%s: answer contains task %d, but the job has %d tasks", a.ID, t.Index, len(a.Echoes))
		return
	}
	if len(c.starts[taskKey{strings.ToLower(a.ID), t.Index}]) == 0 {
		c.violationf("%s task %d is reported as done but never started", a.ID, t.Index)
	}
	var b taskBody
	if err := json.Unmarshal(t.Body, &b); err != nil {
		c.violationf("%s task %d: unreadable body %q", a.ID, t.Index, t.Body)
		return
	}
	if !strings.EqualFold(b.Submission, a.ID) || b.Task != t.Index || b.Echo != a.Echoes[t.Index] {
		c.violationf("%s task %d: got the body of %s task %d, echo %q", a.ID, t.Index, b.Submission, b.Task, b.Echo)
	}
}

// checkNotRun checks that a task reported as not run had not started before the
// answer, and that any later start is due to another attempt.
func (c *checker) checkNotRun(a Attempt, index int) {
	key := taskKey{strings.ToLower(a.ID), index}
	for _, s := range c.starts[key] {
		if s.StartedAt.Before(a.AnsweredAt) {
			c.violationf("%s task %d is reported as not run but had started %v earlier at %s", a.ID, index, a.AnsweredAt.Sub(s.StartedAt), s.Endpoint)
			continue
		}
		if !c.otherAttemptMayHaveStarted(key.id, a, s.StartedAt) {
			c.violationf("%s task %d is reported as not run but started %v later at %s", a.ID, index, s.StartedAt.Sub(a.AnsweredAt), s.Endpoint)
		}
	}
}

// otherAttemptMayHaveStarted reports whether an attempt other than a may have
// caused a start at the given time: it had been sent, and had not been answered
// with "not run" by then.
func (c *checker) otherAttemptMayHaveStarted(id string, a Attempt, at time.Time) bool {
	for _, o := range c.attempts[id] {
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
