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

// retryInterval is the time between two submissions in SubmitWithRetry.
const retryInterval = 50 * time.Millisecond

// Outcome is the result of one job of a Load.
type Outcome struct {
	Job    Job
	Answer api.Answer
	// Err is the last error if no entry answered.
	Err error
	// EndedAt is when the answer arrived, or the last attempt failed.
	EndedAt time.Time
}

// Load is a closed loop of callers, each of which submits one job after another.
type Load struct {
	cancel      context.CancelFunc
	callers     sync.WaitGroup
	submitCount atomic.Int64
	mu          sync.Mutex
	outcomes    []Outcome
}

// StartLoad starts callers that submit jobs of the given number of tasks, each of
// which runs for runTime. The callers retry as SubmitWithRetry does.
func (f *Fleet) StartLoad(t *testing.T, callers, tasks int, runTime time.Duration, entries ...*Entry) *Load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &Load{cancel: cancel}
	for range callers {
		l.callers.Go(func() {
			for ctx.Err() == nil {
				l.submitJob(f, NewJob(tasks, runTime), entries)
			}
		})
	}
	t.Cleanup(func() { l.Stop() })
	return l
}

func (l *Load) submitJob(f *Fleet, j Job, entries []*Entry) {
	first := int(l.submitCount.Add(1))
	answer, err := f.SubmitWithRetry(context.Background(), j, first, entries...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, Outcome{Job: j, Answer: answer, Err: err, EndedAt: time.Now()})
}

// EndedJobs returns the number of jobs that have ended.
func (l *Load) EndedJobs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outcomes)
}

// AwaitMoreJobs waits until n more jobs have ended.
func (l *Load) AwaitMoreJobs(t *testing.T, n int) {
	t.Helper()
	want := l.EndedJobs() + n
	Eventually(t, "more jobs have ended", func(context.Context) error {
		if got := l.EndedJobs(); got < want {
			return result.Errorf(result.Overloaded, "%d of %d jobs ended", got, want)
		}
		return nil
	})
}

// Stop stops submitting, waits for the jobs in progress, and returns all
// outcomes.
func (l *Load) Stop() []Outcome {
	l.cancel()
	l.callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes
}

// SubmitWithRetry submits a job to the entries in turn, beginning with the one at
// index first. It sends the same job again while it gets no answer, or a
// retryable one that says that the job did not run, until jobTimeout has passed.
func (f *Fleet) SubmitWithRetry(ctx context.Context, j Job, first int, entries ...*Entry) (api.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	for i := first; ; i++ {
		answer, err := f.Submit(ctx, entries[i%len(entries)], j)
		if err == nil && (!answer.Code.NotRun() || !result.Describe(answer.Code).Retryable) {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(retryInterval):
		}
	}
}
