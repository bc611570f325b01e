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

// The queues in this file are baselines for comparison. They call the stand-in
// endpoints directly and give none of the guarantees of pomelosill.

// Headers of a request that runs a task on a stand-in endpoint.
const (
	submissionHeader = "Pomelosill-Submission"
	taskHeader       = "Pomelosill-Task"
	teamHeader       = "Pomelosill-Team"
)

// runTask runs one task on an endpoint and checks the echo in the response.
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
		return errors.Errorf("endpoint returned wrong echo %q", echo.Echo)
	}
	return nil
}

// queuedTask is a task that waits for a slot. done is called with its result.
type queuedTask struct {
	ctx   context.Context
	req   Request
	index int
	done  func(error)
}

// fifo is an unbounded first-come, first-served queue.
type fifo struct {
	mu       sync.Mutex
	nonEmpty *sync.Cond
	tasks    []queuedTask
	closed   bool
}

func newFIFO() *fifo {
	q := &fifo{}
	q.nonEmpty = sync.NewCond(&q.mu)
	return q
}

func (q *fifo) push(t queuedTask) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tasks = append(q.tasks, t)
	q.nonEmpty.Signal()
}

func (q *fifo) pop() (queuedTask, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.tasks) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	if q.closed {
		return queuedTask{}, false
	}
	t := q.tasks[0]
	q.tasks = q.tasks[1:]
	return t, true
}

func (q *fifo) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.nonEmpty.Broadcast()
}

// slotPool runs queued tasks with one goroutine per slot, so that no endpoint
// runs more tasks at once than it has slots.
type slotPool struct {
	client *http.Client
	wg     sync.WaitGroup
}

func (p *slotPool) addEndpoint(q *fifo, endpoint string, slots int) {
	for range slots {
		p.wg.Go(func() {
			for {
				t, ok := q.pop()
				if !ok {
					return
				}
				t.done(runTask(t.ctx, p.client, endpoint, t.req, t.index))
			}
		})
	}
}

// submitTasks pushes every task of a job and waits until all have ended.
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

// FCFS is a single first-come, first-served queue for all slots.
type FCFS struct {
	queue *fifo
	pool  slotPool
}

// NewFCFS returns a queue for the endpoints with the given URLs, each of which
// has the given number of slots.
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

// Cancel does nothing, since the baseline has no cancellation.
func (f *FCFS) Cancel(context.Context, uuid.UUID) {}

// Close stops the goroutines of the slots and waits for them.
func (f *FCFS) Close() {
	f.queue.close()
	f.pool.wg.Wait()
}

// PowerOfTwoChoices has several dispatchers that share no state. Each of them
// draws two random endpoints per task and sends the task to the one on which
// fewer of its own tasks are in flight. Every endpoint has a first-come,
// first-served queue.
type PowerOfTwoChoices struct {
	queues      []*fifo
	dispatchers []*dispatcher
	submitCount atomic.Uint64
	pool        slotPool
}

// NewPowerOfTwoChoices returns a scheduler for the endpoints with the given
// URLs, each of which has the given number of slots. The seed determines the
// random choices of the dispatchers.
func NewPowerOfTwoChoices(client *http.Client, endpoints []string, slots, dispatchers int, seed uint64) *PowerOfTwoChoices {
	p := &PowerOfTwoChoices{pool: slotPool{client: client}}
	for _, e := range endpoints {
		q := newFIFO()
		p.queues = append(p.queues, q)
		p.pool.addEndpoint(q, e, slots)
	}
	for i := range dispatchers {
		p.dispatchers = append(p.dispatchers, &dispatcher{
			rng:      rand.New(rand.NewPCG(seed, uint64(i))),
			inFlight: make([]int, len(endpoints)),
		})
	}
	return p
}

// Submit implements Submitter.
func (p *PowerOfTwoChoices) Submit(ctx context.Context, r Request) Outcome {
	d := p.dispatchers[p.submitCount.Add(1)%uint64(len(p.dispatchers))]
	return submitTasks(ctx, r, func(task queuedTask) {
		endpoint := d.chooseEndpoint()
		done := task.done
		task.done = func(err error) {
			d.release(endpoint)
			done(err)
		}
		p.queues[endpoint].push(task)
	})
}

// Cancel does nothing, since the baseline has no cancellation.
func (p *PowerOfTwoChoices) Cancel(context.Context, uuid.UUID) {}

// Close stops the goroutines of the slots and waits for them.
func (p *PowerOfTwoChoices) Close() {
	for _, q := range p.queues {
		q.close()
	}
	p.pool.wg.Wait()
}

// dispatcher chooses endpoints for tasks.
type dispatcher struct {
	mu  sync.Mutex
	rng *rand.Rand
	// inFlight holds, for each endpoint, the number of unfinished tasks that this
	// dispatcher sent to it.
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
