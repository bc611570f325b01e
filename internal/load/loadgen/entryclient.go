package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	maxIdleConnsPerHost = 4096
	// resubmitDelay is the time between a failed submission and the next one.
	resubmitDelay = 50 * time.Millisecond
)

// NewHTTPClient returns a client that keeps enough idle connections to reuse
// them under load.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
	}}
}

// EntryClient submits jobs to pomelosill's entries in turn. When a submission
// gets no answer, it sends the job to the next entry under the same id.
type EntryClient struct {
	client    *http.Client
	entries   []string
	token     string
	callCount atomic.Uint64
}

// NewEntryClient returns a client that submits to the given URLs of entries. The
// token may be empty if the entries require none.
func NewEntryClient(client *http.Client, entries []string, token string) *EntryClient {
	return &EntryClient{client: client, entries: entries, token: token}
}

// Submit implements Submitter.
func (c *EntryClient) Submit(ctx context.Context, r Request) Outcome {
	body := encodeJob(r)
	for resubmissions := 0; ; resubmissions++ {
		answer, err := c.post(ctx, body)
		if err == nil {
			out := CheckAnswer(r, answer)
			out.Resubmissions = resubmissions
			return out
		}
		if !sleepUntil(ctx, time.Now().Add(resubmitDelay)) {
			return Outcome{Resubmissions: resubmissions}
		}
	}
}

// Cancel implements Submitter.
func (c *EntryClient) Cancel(ctx context.Context, id uuid.UUID) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.nextEntry()+"/v1/jobs/"+id.String(), nil)
	if err != nil {
		return
	}
	_, _ = c.do(req)
}

func (c *EntryClient) nextEntry() string {
	return c.entries[c.callCount.Add(1)%uint64(len(c.entries))]
}

func (c *EntryClient) post(ctx context.Context, body []byte) (api.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.nextEntry()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return api.Answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req)
}

func (c *EntryClient) do(req *http.Request) (api.Answer, error) {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	var answer api.Answer
	resp, err := c.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, err
}

// taskPayload holds the fields of a payload that a stand-in endpoint reads.
type taskPayload struct {
	RunMS int64  `json:"run_ms"`
	Echo  string `json:"echo"`
}

// taskEcho holds the field of a stand-in endpoint's response that is checked.
type taskEcho struct {
	Echo string `json:"echo"`
}

func encodePayload(r Request, task int) []byte {
	body, err := json.Marshal(taskPayload{r.Job.RunTimes[task].Milliseconds(), r.Echo(task)})
	if err != nil {
		panic(err)
	}
	return body
}

func encodeJob(r Request) []byte {
	job := api.Job{
		ID:        r.ID.String(),
		Team:      r.Job.Team,
		TimeoutMS: r.Job.Timeout.Milliseconds(),
		Tasks:     make([]api.Task, len(r.Job.RunTimes)),
	}
	for i := range job.Tasks {
		job.Tasks[i].Payload = encodePayload(r, i)
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return body
}

// CheckAnswer compares an answer with its request and returns the outcome.
func CheckAnswer(r Request, a api.Answer) Outcome {
	out := Outcome{
		Answered:   true,
		Code:       a.Code,
		Mismatched: a.ID != r.ID.String(),
	}
	if a.Code == result.OK {
		checkTasks(r, a, &out)
		return out
	}
	out.NotRunTasks = notRunTasks(r, a)
	return out
}

func checkTasks(r Request, a api.Answer, out *Outcome) {
	seen := make([]bool, len(r.Job.RunTimes))
	for _, t := range a.Tasks {
		if t.Index < 0 || t.Index >= len(seen) || seen[t.Index] || t.Code != result.OK {
			out.Partial = true
			continue
		}
		seen[t.Index] = true
		var echo taskEcho
		err := json.Unmarshal(t.Body, &echo)
		if err != nil || echo.Echo != r.Echo(t.Index) {
			out.Mismatched = true
		}
	}
	for _, ok := range seen {
		if !ok {
			out.Partial = true
		}
	}
}

// notRunTasks returns the tasks that the answer says did not run: all of them if
// it says so of the whole job.
func notRunTasks(r Request, a api.Answer) []int {
	var tasks []int
	if a.Code.NotRun() || a.Effect == result.EffectNotRun {
		for i := range r.Job.RunTimes {
			tasks = append(tasks, i)
		}
		return tasks
	}
	for _, t := range a.Tasks {
		if t.Effect == result.EffectNotRun || t.Code != result.OK && t.Code.NotRun() {
			tasks = append(tasks, t.Index)
		}
	}
	return tasks
}
