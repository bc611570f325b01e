package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// retryInterval is the pause of a persistent caller between two tries.
const retryInterval = 50 * time.Millisecond

// Outcome is what one caller of a Load ended with.
type Outcome struct {
	Job    Job
	Answer api.Answer
	// Err is set when no entry gave an answer.
	Err error
	// EndedAt is when the answer came.
	EndedAt time.Time
}

// Load is a number of callers that submit one job after another.
type Load struct {
	cancel      context.CancelFunc
	callers     sync.WaitGroup
	submitCount atomic.Int64
	mu          sync.Mutex
	outcomes    []Outcome
}

// StartLoad starts callers that submit jobs of that many tasks, each of which
// runs for run. Every caller persists: see Persist.
func (f *Fleet) StartLoad(t *testing.T, callers, tasks int, run time.Duration, entries ...*Entry) *Load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &Load{cancel: cancel}
	for range callers {
		l.callers.Go(func() {
			for ctx.Err() == nil {
				l.submitJob(f, NewJob(tasks, run), entries)
			}
		})
	}
	t.Cleanup(func() { l.Stop() })
	return l
}

func (l *Load) submitJob(f *Fleet, j Job, entries []*Entry) {
	first := int(l.submitCount.Add(1))
	ans, err := f.SubmitWithRetry(context.Background(), j, first, entries...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, Outcome{Job: j, Answer: ans, Err: err, EndedAt: time.Now()})
}

// EndedJobs is the number of jobs that have ended.
func (l *Load) EndedJobs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outcomes)
}

// AwaitMoreJobs waits until that many more jobs have ended.
func (l *Load) AwaitMoreJobs(t *testing.T, n int) {
	t.Helper()
	want := l.EndedJobs() + n
	Eventually(t, "more jobs end", func(context.Context) error {
		if got := l.EndedJobs(); got < want {
			return result.Errorf(result.Overloaded, "%d of %d jobs", got, want)
		}
		return nil
	})
}

// Stop lets the jobs in progress end and returns all outcomes.
func (l *Load) Stop() []Outcome {
	l.cancel()
	l.callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes
}

// SubmitWithRetry submits a job as a caller does that wants it done: when it gets no
// answer, or one that invites another try, it sends the same job to the next
// entry until the job's deadline.
func (f *Fleet) SubmitWithRetry(ctx context.Context, j Job, first int, entries ...*Entry) (api.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for i := first; ; i++ {
		ans, err := f.Submit(ctx, entries[i%len(entries)], j)
		if err == nil && (!ans.Code.NotRun() || !result.Describe(ans.Code).Retryable) {
			return ans, nil
		}
		select {
		case <-ctx.Done():
			return ans, err
		case <-time.After(retryInterval):
		}
	}
}
