package drive

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
	idleConnsPerHost = 4096
	// resubmitPause is the pause before a job is sent again.
	resubmitPause = 50 * time.Millisecond
)

// NewClient returns a client that keeps its connections.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     time.Minute,
	}}
}

// Product submits jobs to the entries in turn. When a connection breaks, the
// same id goes to the next entry.
type Product struct {
	client  *http.Client
	entries []string
	token   string
	next    atomic.Uint64
}

// NewProduct takes the callers' addresses of the entries as URLs, and the
// callers' token, which may be empty.
func NewProduct(client *http.Client, entries []string, token string) *Product {
	return &Product{client: client, entries: entries, token: token}
}

// Submit implements Submitter.
func (p *Product) Submit(ctx context.Context, r Request) Outcome {
	body := jobBody(r)
	for resubmitted := 0; ; resubmitted++ {
		answer, err := p.post(ctx, body)
		if err == nil {
			out := Check(r, answer)
			out.Resubmitted = resubmitted
			return out
		}
		if !sleepUntil(ctx, time.Now().Add(resubmitPause)) {
			return Outcome{Resubmitted: resubmitted}
		}
	}
}

// Cancel implements Submitter.
func (p *Product) Cancel(ctx context.Context, id uuid.UUID) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, p.entry()+"/v1/jobs/"+id.String(), nil)
	if err != nil {
		return
	}
	_, _ = p.do(req)
}

func (p *Product) entry() string {
	return p.entries[p.next.Add(1)%uint64(len(p.entries))]
}

func (p *Product) post(ctx context.Context, body []byte) (api.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.entry()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return api.Answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	return p.do(req)
}

func (p *Product) do(req *http.Request) (api.Answer, error) {
	if p.token != "" {
		req.Header.Set("Authorization", "Bearer "+p.token)
	}
	var answer api.Answer
	resp, err := p.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, err
}

// taskPayload is what a stand-in endpoint reads of a payload.
type taskPayload struct {
	RunMS int64  `json:"run_ms"`
	Echo  string `json:"echo"`
}

// taskEcho is what is read of a stand-in endpoint's answer.
type taskEcho struct {
	Echo string `json:"echo"`
}

func payload(r Request, task int) []byte {
	body, err := json.Marshal(taskPayload{r.Job.Runs[task].Milliseconds(), r.Echo(task)})
	if err != nil {
		panic(err)
	}
	return body
}

func jobBody(r Request) []byte {
	job := api.Job{
		ID:        r.ID.String(),
		Team:      r.Job.Team,
		TimeoutMS: r.Job.Timeout.Milliseconds(),
		Tasks:     make([]api.Task, len(r.Job.Runs)),
	}
	for i := range job.Tasks {
		job.Tasks[i].Payload = payload(r, i)
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return body
}

// Check compares an answer with its request.
func Check(r Request, a api.Answer) Outcome {
	out := Outcome{
		Answered: true,
		Code:     a.Code,
		Foreign:  a.ID != r.ID.String(),
	}
	if a.Code == result.OK {
		checkTasks(r, a, &out)
		return out
	}
	out.NotRun = notRun(r, a)
	return out
}

func checkTasks(r Request, a api.Answer, out *Outcome) {
	seen := make([]bool, len(r.Job.Runs))
	for _, t := range a.Tasks {
		if t.Index < 0 || t.Index >= len(seen) || seen[t.Index] || t.Code != result.OK {
			out.Partial = true
			continue
		}
		seen[t.Index] = true
		var echo taskEcho
		err := json.Unmarshal(t.Body, &echo)
		if err != nil || echo.Echo != r.Echo(t.Index) {
			out.Foreign = true
		}
	}
	for _, s := range seen {
		if !s {
			out.Partial = true
		}
	}
}

// notRun lists every task when the whole job is said not to have run.
func notRun(r Request, a api.Answer) []int {
	var tasks []int
	if a.Code.NotRun() || a.Effect == result.EffectNotRun {
		for i := range r.Job.Runs {
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
