package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/api"
)

const (
	shardCount = 16
	// bucketSpan is the range of submission times in a bucket, which expires as
	// a whole.
	bucketSpan = time.Minute
	// recordClockMargin is how much longer than RecordRetention a record is
	// kept after its start, whatever the wall clock says, because the clocks of
	// callers, owners and other agents differ.
	recordClockMargin = time.Minute
)

// bucket holds the records of the submissions of one minute.
type bucket struct {
	records map[Task]record
	running int
	// lastStart is when a task of the bucket last started.
	lastStart time.Duration
	// lastEnd is when a task of the bucket last ended.
	lastEnd time.Duration
}

// shard holds the records of some of the submissions under its own lock.
type shard struct {
	mu sync.Mutex
	// buckets is keyed by the minute of the submission's time.
	buckets map[int64]*bucket
}

// records holds the records of all started tasks.
type records struct {
	cfg    Config
	shards [shardCount]shard
	count  atomic.Int64
	held   heldBodies
}

func newRecords(cfg Config) *records {
	rs := &records{cfg: cfg}
	for i := range rs.shards {
		rs.shards[i].buckets = map[int64]*bucket{}
	}
	return rs
}

func (rs *records) shard(submission uuid.UUID) *shard {
	return &rs.shards[xxhash.Sum64(submission[:])%shardCount]
}

func bucketKey(t Task) int64 {
	return t.idMillis() / bucketSpan.Milliseconds()
}

func (rs *records) full() bool {
	return rs.count.Load() >= rs.cfg.MaxRecords
}

func (rs *records) get(t Task) (Record, bool) {
	s := rs.shard(t.Submission)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[bucketKey(t)]
	if b == nil {
		return Record{}, false
	}
	r, ok := b.records[t]
	return r.export(t), ok
}

// start adds the record of a task that has none.
func (rs *records) start(now time.Duration, t Task, digest uint64) {
	s := rs.shard(t.Submission)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := bucketKey(t)
	b := s.buckets[key]
	if b == nil {
		b = &bucket{records: map[Task]record{}}
		s.buckets[key] = b
	}
	b.records[t] = record{running: true, digest: digest}
	b.running++
	b.lastStart = max(b.lastStart, now)
	rs.count.Add(1)
}

func (rs *records) end(now time.Duration, r Record) bool {
	a := &answer{body: r.Body, detail: r.Detail}
	if !rs.storeEnded(now, r, a) {
		return false
	}
	rs.held.add(now, r.Task, a.bytes())
	for {
		t, ok := rs.held.evictOverLimit(rs.cfg.MaxHeldBytes)
		if !ok {
			return true
		}
		rs.dropAnswer(t)
	}
}

func (rs *records) storeEnded(now time.Duration, r Record, a *answer) bool {
	s := rs.shard(r.Task.Submission)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.runningBucket(r.Task)
	if !ok {
		return false
	}
	b.records[r.Task] = record{answer: a, code: uint16(r.Code), runUS: clampMicros(r.RunTime), digest: b.records[r.Task].digest}
	b.running--
	b.lastEnd = now
	return true
}

// abort removes the record of a running task.
func (rs *records) abort(t Task) bool {
	s := rs.shard(t.Submission)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.runningBucket(t)
	if !ok {
		return false
	}
	delete(b.records, t)
	b.running--
	rs.count.Add(-1)
	return true
}

// runningBucket returns the bucket of a task and reports whether the task is
// running.
func (s *shard) runningBucket(t Task) (*bucket, bool) {
	b := s.buckets[bucketKey(t)]
	if b == nil {
		return nil, false
	}
	return b, b.records[t].running
}

func (rs *records) release(submission uuid.UUID) {
	for index := range uint32(api.MaxTasks) {
		rs.dropAnswer(Task{Submission: submission, Index: index})
	}
}

func (rs *records) dropAnswers(tasks []Task) {
	for _, t := range tasks {
		rs.dropAnswer(t)
	}
}

// dropAnswer drops the body of an ended task. The record itself is kept.
func (rs *records) dropAnswer(t Task) {
	s := rs.shard(t.Submission)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[bucketKey(t)]
	if b == nil {
		return
	}
	r, ok := b.records[t]
	if !ok || r.answer == nil {
		return
	}
	rs.held.subtractBytes(r.answer.bytes())
	r.answer = nil
	b.records[t] = r
}

// all returns every record.
func (rs *records) all() []Record {
	out := make([]Record, 0, rs.count.Load())
	for i := range rs.shards {
		out = rs.shards[i].appendTo(out)
	}
	return out
}

func (s *shard) appendTo(out []Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		for t, r := range b.records {
			out = append(out, r.export(t))
		}
	}
	return out
}

// expire drops the bodies past their retention, and the buckets whose IDs
// checkIDAge refuses.
func (rs *records) expire(now time.Duration) {
	rs.dropAnswers(rs.held.expire(now - rs.cfg.BodyRetention))
	for i := range rs.shards {
		rs.expireShard(now, &rs.shards[i])
	}
}

func (rs *records) expireShard(now time.Duration, s *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, b := range s.buckets {
		if !rs.bucketExpired(now, key, b) {
			continue
		}
		for _, r := range b.records {
			if r.answer != nil {
				rs.held.subtractBytes(r.answer.bytes())
			}
		}
		rs.count.Add(-int64(len(b.records)))
		delete(s.buckets, key)
	}
}

// bucketExpired reports whether no ID of the bucket may start any more, here or
// at another agent, and nobody waits for the outcomes. The wall clock alone
// does not decide: if it were ahead of the owners' clocks, a record would be
// dropped while an owner may still start the task at another agent.
func (rs *records) bucketExpired(now time.Duration, key int64, b *bucket) bool {
	if b.running > 0 || now-b.lastEnd < rs.cfg.BodyRetention {
		return false
	}
	if now-b.lastStart <= rs.cfg.RecordRetention+recordClockMargin {
		return false
	}
	end := time.UnixMilli((key + 1) * bucketSpan.Milliseconds())
	return rs.cfg.Epoch.Add(now).Sub(end) > rs.cfg.RecordRetention
}

// clampMicros returns d in microseconds, limited to the range of uint32.
func clampMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}
