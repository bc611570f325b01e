package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/endpoint"
	"github.com/pomelosill/pomelosill/test/oracle"
)

const (
	// jobTimeout is the default timeout of a job.
	jobTimeout = 30 * time.Second
	// answerGracePeriod is how long a caller waits after the job's deadline.
	answerGracePeriod = 20 * time.Second
	// maxAnswerBytes is the maximum size of an answer.
	maxAnswerBytes = 64 << 20
)

// Job is a job with the texts that its tasks must echo.
type Job struct {
	api.Job
	echoes []string
}

// NewJob returns a job with a new id and the given number of tasks, each of
// which runs for runTime.
func NewJob(tasks int, runTime time.Duration) Job {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	j := Job{Job: api.Job{ID: id.String(), Team: Team, TimeoutMS: jobTimeout.Milliseconds()}}
	for i := range tasks {
		j.addTask(i, runTime)
	}
	return j
}

func (j *Job) addTask(i int, runTime time.Duration) {
	echo := fmt.Sprintf("%s/%d", j.ID, i)
	payload, err := json.Marshal(endpoint.Payload{RunMS: runTime.Milliseconds(), Echo: echo})
	if err != nil {
		panic(err)
	}
	j.Tasks = append(j.Tasks, api.Task{Payload: payload})
	j.echoes = append(j.echoes, echo)
}

// WithTimeout returns the job with another timeout.
func (j Job) WithTimeout(d time.Duration) Job {
	j.TimeoutMS = d.Milliseconds()
	return j
}

// Call is a submission that SubmitAsync has started.
type Call struct {
	Job    Job
	done   chan struct{}
	answer api.Answer
	err    error
}

// Submit sends a job to an entry, waits for the answer, and records both in the
// fleet's history.
func (f *Fleet) Submit(ctx context.Context, e *Entry, j Job) (api.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.TimeoutMS)*time.Millisecond+answerGracePeriod)
	defer cancel()
	a := oracle.Attempt{ID: j.ID, Echoes: j.echoes, SentAt: time.Now()}
	body, err := f.post(ctx, "http://"+e.CallerAddress+"/v1/jobs", j.Job)
	if err == nil {
		a.AnsweredAt, a.Answer = time.Now(), body
	}
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	f.mu.Unlock()
	if err != nil {
		return api.Answer{}, err
	}
	var answer api.Answer
	err = json.Unmarshal(body, &answer)
	return answer, err
}

// SubmitAsync submits a job in the background.
func (f *Fleet) SubmitAsync(ctx context.Context, e *Entry, j Job) *Call {
	c := &Call{Job: j, done: make(chan struct{})}
	f.callers.Go(func() {
		defer close(c.done)
		c.answer, c.err = f.Submit(ctx, e, j)
	})
	return c
}

// Wait waits for the end of the submission and returns its answer or error.
func (c *Call) Wait() (api.Answer, error) {
	<-c.done
	return c.answer, c.err
}

// MustAnswer waits for the answer and requires one of the given codes.
func (c *Call) MustAnswer(t *testing.T, codes ...result.Code) api.Answer {
	t.Helper()
	answer, err := c.Wait()
	must.NoError(t, err)
	must.SliceContains(t, codes, answer.Code, must.Sprintf("%s: %s %s", answer.ID, answer.Code, answer.Detail))
	return answer
}

// MustSubmit submits a job, waits for the answer and requires one of the given
// codes.
func (f *Fleet) MustSubmit(t *testing.T, e *Entry, j Job, codes ...result.Code) api.Answer {
	t.Helper()
	return f.SubmitAsync(t.Context(), e, j).MustAnswer(t, codes...)
}

// Probe submits a job of one task with a run time of zero, and returns an error
// unless it is done.
func (f *Fleet) Probe(ctx context.Context, e *Entry) error {
	answer, err := f.Submit(ctx, e, NewJob(1, 0))
	if err != nil {
		return err
	}
	if answer.Code != result.OK {
		return result.Errorf(answer.Code, "%s", answer.Detail)
	}
	return nil
}

// Cancel asks an entry to cancel a job.
func (f *Fleet) Cancel(ctx context.Context, e *Entry, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+e.CallerAddress+"/v1/jobs/"+id, nil)
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Query sends a statement without options to an entry's API for operators.
func (f *Fleet) Query(ctx context.Context, e *Entry, text string) (api.Reply, error) {
	return f.SendStatement(ctx, e, api.Statement{Text: text})
}

// SendStatement sends a statement with its options to an entry's API for
// operators.
func (f *Fleet) SendStatement(ctx context.Context, e *Entry, s api.Statement) (api.Reply, error) {
	body, err := f.post(ctx, "http://"+e.AdminAddress+"/v1/query", s)
	if err != nil {
		return api.Reply{}, err
	}
	var reply api.Reply
	err = json.Unmarshal(body, &reply)
	return reply, err
}

// Document reads the control document from the store.
func (f *Fleet) Document(ctx context.Context) (control.Document, error) {
	var d control.Document
	e, err := f.storeClient.Get(ctx, control.DocumentKey)
	if err != nil {
		return d, err
	}
	err = json.Unmarshal(e.Value, &d)
	return d, err
}

// ownerOf returns the entry that owns cell 0 according to the document, or nil.
func (f *Fleet) ownerOf(d control.Document) *Entry {
	if len(d.Cells) == 0 {
		return nil
	}
	for _, member := range d.Roster {
		if member.ID == d.Cells[0].Owner {
			return f.entryByAddress(member.Address)
		}
	}
	return nil
}

func (f *Fleet) entryByAddress(address string) *Entry {
	for _, e := range f.Entries {
		if e.PeerAddress == address {
			return e
		}
	}
	return nil
}

// post sends v as JSON and returns the body of the response.
func (f *Fleet) post(ctx context.Context, url string, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
}

func (f *Fleet) get(ctx context.Context, url string, response any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(response)
}

// AwaitOtherOwner waits until the document in the store names an owner of cell 0
// other than e.
func (f *Fleet) AwaitOtherOwner(t *testing.T, e *Entry) {
	t.Helper()
	Eventually(t, "another entry owns cell 0", func(ctx context.Context) error {
		d, err := f.Document(ctx)
		if err != nil {
			return err
		}
		if owner := f.ownerOf(d); owner == nil || owner == e {
			return fmt.Errorf("cell 0 is owned by %q", d.Cells[0].Owner)
		}
		return nil
	})
}

// EntryDocument returns the control document that an entry holds in memory.
func (f *Fleet) EntryDocument(ctx context.Context, e *Entry) (control.Document, error) {
	var state entryState
	if err := f.get(ctx, "http://"+e.AdminAddress+"/debug/state", &state); err != nil {
		return control.Document{}, err
	}
	if state.Document == nil {
		return control.Document{}, result.Errorf(result.NotFound, "%s holds no control document", e.Name)
	}
	return *state.Document, nil
}
