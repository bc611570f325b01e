//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeLength is how long one machine stands still. It is far below that of a
	// node_freeze: after a longer one, the dispatcher refuses the jobs that have waited.
	freezeLength = 250 * time.Millisecond
	// freezes is how many machines are frozen, one after the other.
	freezes        = 4
	betweenFreezes = time.Second
	// cancelledJobs is the number of jobs that are sent during each and cancelled.
	cancelledJobs = 8
	// firstSubmit is when the first of them is sent, submitGap the time between two, and
	// cancelAfter when each is cancelled after it was sent.
	firstSubmit = 30 * time.Millisecond
	submitGap   = 18 * time.Millisecond
	cancelAfter = 40 * time.Millisecond
)

// cancelledJob is a job with the time at which its cancel was acknowledged.
type cancelledJob struct {
	id    string
	acked time.Time
	err   error
}

// playUnread cancels jobs that were sent to a dispatcher while that was frozen.
func playUnread(f *fleet, trouble bool) ([]string, error) {
	fronts, err := f.startAll(zones)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	f.clients.Go(func() { f.load(fronts, 20*time.Millisecond, stop) })
	time.Sleep(calmTime)
	var jobs []cancelledJob
	for i, m := range fronts[:freezes] {
		round, err := f.playFreeze(m, fronts[(i+1)%len(fronts)], trouble)
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, round...)
		time.Sleep(betweenFreezes)
	}
	close(stop)
	f.clients.Wait()
	time.Sleep(500 * time.Millisecond)
	return f.startsOfCancelled(jobs)
}

// playFreeze freezes one dispatcher and cancels, at another, jobs that are sent meanwhile.
func (f *fleet) playFreeze(frozen, other *machine, trouble bool) ([]cancelledJob, error) {
	if trouble {
		if err := f.freeze(frozen, freezeLength); err != nil {
			return nil, err
		}
	}
	time.Sleep(firstSubmit)
	jobs := make([]cancelledJob, cancelledJobs)
	var cancels sync.WaitGroup
	for i := range jobs {
		cancels.Go(func() {
			time.Sleep(time.Duration(i) * submitGap)
			jobs[i] = f.submitAndCancel(frozen, other)
		})
	}
	cancels.Wait()
	return jobs, nil
}

// freeze stops a machine's process for a while.
func (f *fleet) freeze(m *machine, length time.Duration) error {
	f.rec.add("disruption: %s is frozen", m.name)
	if err := m.process.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(length, func() {
		f.rec.add("disruption: %s wakes", m.name)
		_ = m.process.Process.Signal(syscall.SIGCONT)
	})
	return nil
}

// submitAndCancel sends a job of two steps to one dispatcher and cancels it at another. The
// client goes on waiting for the answer to the job.
func (f *fleet) submitAndCancel(m, other *machine) cancelledJob {
	id := newJobID()
	body := []byte(`{"spec":"5500,300","best_effort":true,"steps":[{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":5500},{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":300,"after":[0]}]}`)
	f.clients.Go(func() {
		f.rec.add("client: POST %s to %s", id, m.name)
		status, text := f.call(m, http.MethodPost, id, body, 20*time.Second)
		f.rec.add("client: POST %s answered %d %s", id, status, text)
	})
	time.Sleep(cancelAfter)
	acked, err := f.cancelUntilAcked(other, id)
	return cancelledJob{id: id, acked: acked, err: err}
}

// startsOfCancelled returns the starts of tasks later than allowed after the cancel of their
// job was acknowledged.
func (f *fleet) startsOfCancelled(jobs []cancelledJob) ([]string, error) {
	var broken []string
	for _, j := range jobs {
		if j.err != nil {
			return nil, j.err
		}
		for _, e := range f.executors {
			for _, s := range e.startsSince(j.acked.Add(cancelBound)) {
				if strings.HasPrefix(s.task, j.id) {
					broken = append(broken, fmt.Sprintf("UNASKED: %s started %.3f s after the ack of its job's cancelling", s.task, s.at.Sub(j.acked).Seconds()))
				}
			}
		}
	}
	return broken, nil
}
