package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/result"
)

// The queues in this file serve comparison only: they drive the stand-in
// endpoints directly and keep no promise of the product.

// Headers of a run on a stand-in endpoint.
const (
	submissionHeader = "Pomelosill-Submission"
	taskHeader       = "Pomelosill-Task"
	teamHeader       = "Pomelosill-Team"
)

// runTask runs one task on an endpoint and checks its echo.
func runTask(ctx context.Context, client *http.Client, endpoint string, r Request, task int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+"/run", bytes.NewReader(encodePayload(r, task)))
	if err != nil {
		return err
	}
	req.Header.Set(submissionHeader, r.ID.String())
	req.Header.Set(taskHeader, strconv.Itoa(task))
	req.Header.Set(teamHeader, r.Job.Team)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var echo taskEcho
	if err := json.NewDecoder(resp.Body).Decode(&echo); err != nil {
		return err
	}
	if echo.Echo != r.Echo(task) {
		return errors.Errorf("echo %q", echo.Echo)
	}
	return nil
}

// queuedTask is one waiting task.
type queuedTask struct {
	ctx  context.Context
	req  Request
	task int
	done func(error)
}

// fifo is an unbounded first-come-first-served queue.
type fifo struct {
	mu       sync.Mutex
	nonEmpty *sync.Cond
	runs     []queuedTask
	closed   bool
}

func newFIFO() *fifo {
	q := &fifo{}
	q.nonEmpty = sync.NewCond(&q.mu)
	return q
}

func (q *fifo) push(r queuedTask) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs = append(q.runs, r)
	q.nonEmpty.Signal()
}

func (q *fifo) pop() (queuedTask, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.runs) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	if q.closed {
		return queuedTask{}, false
	}
	r := q.runs[0]
	q.runs = q.runs[1:]
	return r, true
}

func (q *fifo) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.nonEmpty.Broadcast()
}

// slotPool has one goroutine per slot, each of which runs one task at a time.
type slotPool struct {
	client *http.Client
	wg     sync.WaitGroup
}

func (p *slotPool) addEndpoint(q *fifo, endpoint string, slots int) {
	for range slots {
		p.wg.Go(func() {
			for {
				r, ok := q.pop()
				if !ok {
					return
				}
				r.done(runTask(r.ctx, p.client, endpoint, r.req, r.task))
			}
		})
	}
}

// submitTasks pushes every task and waits for all of them.
func submitTasks(ctx context.Context, r Request, push func(queuedTask)) Outcome {
	var wg sync.WaitGroup
	var failed atomic.Int64
	wg.Add(len(r.Job.RunTimes))
	for task := range r.Job.RunTimes {
		push(queuedTask{ctx, r, task, func(err error) {
			if err != nil {
				failed.Add(1)
			}
			wg.Done()
		}})
	}
	wg.Wait()
	out := Outcome{Answered: ctx.Err() == nil, Code: result.OK}
	if failed.Load() > 0 {
		out.Code = result.TaskFailed
	}
	return out
}

// FCFS is one first-come-first-served queue over all slots.
type FCFS struct {
	queue *fifo
	pool  slotPool
}

// NewFCFS takes the URLs of the endpoints and the slots of each.
func NewFCFS(client *http.Client, endpoints []string, slots int) *FCFS {
	f := &FCFS{queue: newFIFO(), pool: slotPool{client: client}}
	for _, e := range endpoints {
		f.pool.addEndpoint(f.queue, e, slots)
	}
	return f
}

// Submit implements Submitter.
func (f *FCFS) Submit(ctx context.Context, r Request) Outcome {
	return submitTasks(ctx, r, f.queue.push)
}

// Cancel does nothing: the comparison has no cancellation.
func (f *FCFS) Cancel(context.Context, uuid.UUID) {}

// Close ends the pool.
func (f *FCFS) Close() {
	f.queue.close()
	f.pool.wg.Wait()
}

// PowerOfTwoChoices has several dispatchers without a central view. Each sends a
// task to the less loaded of two random endpoints as far as it knows from its
// own tasks; the endpoint queues first come, first served.
type PowerOfTwoChoices struct {
	queues      []*fifo
	dispatchers []*dispatcher
	submitCount atomic.Uint64
	pool        slotPool
}

// NewPowerOfTwoChoices takes the URLs of the endpoints, the slots of each, the number
// of dispatchers and a seed.
func NewPowerOfTwoChoices(client *http.Client, endpoints []string, slots, dispatchers int, seed uint64) *PowerOfTwoChoices {
	t := &PowerOfTwoChoices{pool: slotPool{client: client}}
	for _, e := range endpoints {
		q := newFIFO()
		t.queues = append(t.queues, q)
		t.pool.addEndpoint(q, e, slots)
	}
	for i := range dispatchers {
		t.dispatchers = append(t.dispatchers, &dispatcher{
			rng:      rand.New(rand.NewPCG(seed, uint64(i))),
			inFlight: make([]int, len(endpoints)),
		})
	}
	return t
}

// Submit implements Submitter.
func (t *PowerOfTwoChoices) Submit(ctx context.Context, r Request) Outcome {
	d := t.dispatchers[t.submitCount.Add(1)%uint64(len(t.dispatchers))]
	return submitTasks(ctx, r, func(run queuedTask) {
		endpoint := d.chooseEndpoint()
		done := run.done
		run.done = func(err error) {
			d.release(endpoint)
			done(err)
		}
		t.queues[endpoint].push(run)
	})
}

// Cancel does nothing: the comparison has no cancellation.
func (t *PowerOfTwoChoices) Cancel(context.Context, uuid.UUID) {}

// Close ends the pool.
func (t *PowerOfTwoChoices) Close() {
	for _, q := range t.queues {
		q.close()
	}
	t.pool.wg.Wait()
}

// dispatcher knows only the tasks that it sent itself.
type dispatcher struct {
	mu       sync.Mutex
	rng      *rand.Rand
	inFlight []int
}

func (d *dispatcher) chooseEndpoint() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, b := d.rng.IntN(len(d.inFlight)), d.rng.IntN(len(d.inFlight))
	if d.inFlight[b] < d.inFlight[a] {
		a = b
	}
	d.inFlight[a]++
	return a
}

func (d *dispatcher) release(endpoint int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[endpoint]--
}
