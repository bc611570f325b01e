package oracle

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// testTime returns the time s seconds after the beginning of the test's history.
func testTime(s int) time.Time { return time.Unix(int64(s), 0) }

func newStart(task, second int) Start {
	return Start{Submission: "a", Task: task, Endpoint: "e", StartedAt: testTime(second)}
}

func newAttempt(sent, answered int, body string) Attempt {
	a := Attempt{ID: "a", Echoes: []string{"x", "y"}, SentAt: testTime(sent), Answer: []byte(body)}
	if answered > 0 {
		a.AnsweredAt = testTime(answered)
	}
	return a
}

func task0JSON(id, echo string) string {
	return fmt.Sprintf(`{"index":0,"code":0,"effect":"done","body":{"submission":%q,"task":0,"echo":%q}}`, id, echo)
}

const (
	task1JSON   = `{"index":1,"code":0,"effect":"done","body":{"submission":"a","task":1,"echo":"y"}}`
	refusedJSON = `{"id":"a","code":105,"effect":"not run"}`
	failedJSON  = `{"id":"a","code":202,"effect":"may have run"}`
)

func doneAnswer(tasks string) string {
	return `{"id":"a","code":0,"effect":"done","tasks":[` + tasks + `]}`
}

func TestCheckFindsViolations(t *testing.T) {
	ok := doneAnswer(task0JSON("a", "x") + "," + task1JSON)
	cases := []struct {
		name       string
		starts     []Start
		attempts   []Attempt
		violations int
	}{
		{"complete", []Start{newStart(0, 2), newStart(1, 2)}, []Attempt{newAttempt(1, 3, ok)}, 0},
		{"no answer", []Start{newStart(0, 2)}, []Attempt{newAttempt(1, 0, "")}, 0},
		{"started twice", []Start{newStart(0, 2), newStart(0, 3)}, []Attempt{newAttempt(1, 0, "")}, 1},
		{"started without submission", []Start{newStart(0, 2)}, nil, 1},
		{"started before submission", []Start{newStart(0, 1)}, []Attempt{newAttempt(2, 0, "")}, 1},
		{"task missing", []Start{newStart(0, 2), newStart(1, 2)}, []Attempt{newAttempt(1, 3, doneAnswer(task1JSON))}, 1},
		{"done without a start", []Start{newStart(0, 2)}, []Attempt{newAttempt(1, 3, ok)}, 1},
		{"body of another job", []Start{newStart(0, 2), newStart(1, 2)}, []Attempt{newAttempt(1, 3, doneAnswer(task0JSON("b", "x")+","+task1JSON))}, 1},
		{"echo of another task", []Start{newStart(0, 2), newStart(1, 2)}, []Attempt{newAttempt(1, 3, doneAnswer(task0JSON("a", "z")+","+task1JSON))}, 1},
		{"answer for another job", nil, []Attempt{newAttempt(1, 3, `{"id":"b","code":202,"effect":"may have run"}`)}, 1},
		{"unreadable request", nil, []Attempt{newAttempt(1, 3, `{"id":"","code":103,"effect":"not run"}`)}, 0},
		{"unreadable request whose task started", []Start{newStart(0, 2)}, []Attempt{newAttempt(1, 3, `{"id":"","code":103,"effect":"not run"}`)}, 1},
		{"refusal without an id", nil, []Attempt{newAttempt(1, 3, `{"id":"","code":105,"effect":"not run"}`)}, 1},
		{"unreadable answer", nil, []Attempt{newAttempt(1, 3, `{`)}, 1},
		{"refused", nil, []Attempt{newAttempt(1, 3, refusedJSON)}, 0},
		{"refused after a start", []Start{newStart(0, 2)}, []Attempt{newAttempt(1, 3, refusedJSON)}, 1},
		{"refused and started later", []Start{newStart(0, 5)}, []Attempt{newAttempt(1, 3, refusedJSON)}, 1},
		{"refused, submitted again and started later", []Start{newStart(0, 5)}, []Attempt{newAttempt(1, 3, refusedJSON), newAttempt(4, 0, "")}, 0},
		{"refused twice and started later", []Start{newStart(0, 6)}, []Attempt{newAttempt(1, 3, refusedJSON), newAttempt(4, 5, refusedJSON)}, 2},
		{"refused after a start by another attempt", []Start{newStart(0, 2)}, []Attempt{newAttempt(1, 3, refusedJSON), newAttempt(1, 4, failedJSON)}, 1},
		{"failed after a start", []Start{newStart(0, 2)}, []Attempt{newAttempt(1, 3, failedJSON)}, 0},
		{"one task reported as not run after it started", []Start{newStart(1, 2)}, []Attempt{newAttempt(1, 3,
			`{"id":"a","code":202,"effect":"may have run","tasks":[{"index":1,"code":109,"effect":"not run"}]}`)}, 1},
		{"code contradicts effect", nil, []Attempt{newAttempt(1, 3, `{"id":"a","code":105,"effect":"done"}`)}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Len(t, c.violations, Check(c.starts, c.attempts))
		})
	}
}
