package dispatch

import "time"

const (
	// cancelRetention is how long a cancelled job is remembered at least. Its request may
	// lie unread at a dispatcher that was suspended for as long as its caller waits.
	cancelRetention = 30 * time.Second
	// maxCancelled bounds the remembered jobs, of which there are up to twice as many.
	maxCancelled = 1 << 15
)

// jobPath names a job by the host and the path of its requests.
type jobPath struct{ host, path string }

// cancelMemory remembers the jobs that callers have cancelled, whether or not they were known:
// a request that is read later than the cancel must not start them.
type cancelMemory struct {
	// recent and former hold the jobs; recent replaces former when it is old or full.
	recent, former map[jobPath]bool
	// since is when recent was begun.
	since time.Duration
}

// add remembers a job.
func (m *cancelMemory) add(p jobPath, now time.Duration) {
	if m.recent == nil || now-m.since > cancelRetention || len(m.recent) >= maxCancelled {
		m.former, m.recent, m.since = m.recent, map[jobPath]bool{}, now
	}
	m.recent[p] = true
}

// has reports whether a job was cancelled recently.
func (m *cancelMemory) has(p jobPath) bool { return m.recent[p] || m.former[p] }
