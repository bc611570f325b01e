package oracle

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// at is an instant of the test's history, in seconds.
func at(s int) time.Time { return time.Unix(int64(s), 0) }

func start(task, second int) Start {
	return Start{Submission: "a", Task: task, Endpoint: "e", At: at(second)}
}

func attempt(sent, answered int, body string) Attempt {
	a := Attempt{ID: "a", Echoes: []string{"x", "y"}, Sent: at(sent), Answer: []byte(body)}
	if answered > 0 {
		a.Answered = at(answered)
	}
	return a
}

func task0(id, echo string) string {
	return fmt.Sprintf(`{"index":0,"code":0,"effect":"done","body":{"submission":%q,"task":0,"echo":%q}}`, id, echo)
}

const (
	task1   = `{"index":1,"code":0,"effect":"done","body":{"submission":"a","task":1,"echo":"y"}}`
	refusal = `{"id":"a","code":105,"effect":"not run"}`
	failed  = `{"id":"a","code":202,"effect":"may have run"}`
)

func whole(tasks string) string {
	return `{"id":"a","code":0,"effect":"done","tasks":[` + tasks + `]}`
}

func TestCheck(t *testing.T) {
	ok := whole(task0("a", "x") + "," + task1)
	cases := []struct {
		name     string
		starts   []Start
		attempts []Attempt
		broken   int
	}{
		{"whole", []Start{start(0, 2), start(1, 2)}, []Attempt{attempt(1, 3, ok)}, 0},
		{"no answer", []Start{start(0, 2)}, []Attempt{attempt(1, 0, "")}, 0},
		{"started twice", []Start{start(0, 2), start(0, 3)}, []Attempt{attempt(1, 0, "")}, 1},
		{"started unasked", []Start{start(0, 2)}, nil, 1},
		{"started before it was asked", []Start{start(0, 1)}, []Attempt{attempt(2, 0, "")}, 1},
		{"partial", []Start{start(0, 2), start(1, 2)}, []Attempt{attempt(1, 3, whole(task1))}, 1},
		{"done without a start", []Start{start(0, 2)}, []Attempt{attempt(1, 3, ok)}, 1},
		{"another's body", []Start{start(0, 2), start(1, 2)}, []Attempt{attempt(1, 3, whole(task0("b", "x")+","+task1))}, 1},
		{"another's echo", []Start{start(0, 2), start(1, 2)}, []Attempt{attempt(1, 3, whole(task0("a", "z")+","+task1))}, 1},
		{"another's answer", nil, []Attempt{attempt(1, 3, `{"id":"b","code":202,"effect":"may have run"}`)}, 1},
		{"request not read", nil, []Attempt{attempt(1, 3, `{"id":"","code":103,"effect":"not run"}`)}, 0},
		{"request not read, and started", []Start{start(0, 2)}, []Attempt{attempt(1, 3, `{"id":"","code":103,"effect":"not run"}`)}, 1},
		{"refusal without an id", nil, []Attempt{attempt(1, 3, `{"id":"","code":105,"effect":"not run"}`)}, 1},
		{"unreadable", nil, []Attempt{attempt(1, 3, `{`)}, 1},
		{"refused", nil, []Attempt{attempt(1, 3, refusal)}, 0},
		{"refused after a start", []Start{start(0, 2)}, []Attempt{attempt(1, 3, refusal)}, 1},
		{"refused and started later", []Start{start(0, 5)}, []Attempt{attempt(1, 3, refusal)}, 1},
		{"refused, asked anew", []Start{start(0, 5)}, []Attempt{attempt(1, 3, refusal), attempt(4, 0, "")}, 0},
		{"refused twice and started later", []Start{start(0, 6)}, []Attempt{attempt(1, 3, refusal), attempt(4, 5, refusal)}, 2},
		{"refused while another attempt ran it", []Start{start(0, 2)}, []Attempt{attempt(1, 3, refusal), attempt(1, 4, failed)}, 1},
		{"failed after a start", []Start{start(0, 2)}, []Attempt{attempt(1, 3, failed)}, 0},
		{"one task not run, though it started", []Start{start(1, 2)}, []Attempt{attempt(1, 3,
			`{"id":"a","code":202,"effect":"may have run","tasks":[{"index":1,"code":109,"effect":"not run"}]}`)}, 1},
		{"code and effect differ", nil, []Attempt{attempt(1, 3, `{"id":"a","code":105,"effect":"done"}`)}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Len(t, c.broken, Check(c.starts, c.attempts))
		})
	}
}
