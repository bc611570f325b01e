// Package model runs the decision cores of the system together in one
// process, under one seed: several entries (internal/control, internal/cell,
// internal/sched), agents (internal/gate), callers and the platform's store,
// with messages that are late, lost or out of order, with processes that are
// frozen, killed and restarted, with clocks that differ, and with a store that
// is away, slow, or loses its answers. Time is simulated. After each step
// invariants are checked; at the end the history of starts and answers can be
// judged by test/oracle, which shares no code with the product.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// stepInterval is the simulated time between two steps.
	stepInterval = 10 * time.Millisecond
	// freshness is the limit that entries and agents share.
	freshness = 3 * time.Second
	// idRetention is shorter than in the product, so that a run outlives it.
	idRetention = 25 * time.Second
	// clockSkew bounds the difference of two entries' clocks.
	clockSkew = time.Second
	// maxClockOffset and maxDrift bound each clock's difference from true time.
	maxClockOffset = 300 * time.Millisecond
	maxClockDrift  = 0.002
)

// Config is what a run is made of.
type Config struct {
	Seed    uint64
	Entries int
	Agents  int
	Cells   int
	// FaultDuration is the simulated time with faults; a quiet time follows.
	FaultDuration time.Duration
	// MeanFaultInterval is the mean time between two faults.
	MeanFaultInterval time.Duration
	// PartitionsOnly makes every fault a split of the network, with a domain taken out
	// on the store's side.
	PartitionsOnly bool
}

// RandomConfig returns a random configuration for a seed.
func RandomConfig(seed uint64) Config {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return Config{
		Seed:              seed,
		Entries:           2 + rnd.IntN(4),
		Agents:            2 + rnd.IntN(4),
		Cells:             1 + rnd.IntN(2),
		FaultDuration:     40*time.Second + time.Duration(rnd.IntN(40))*time.Second,
		MeanFaultInterval: time.Duration(200+rnd.IntN(6000)) * time.Millisecond,
		PartitionsOnly:    seed%2 == 0,
	}
}

// settleDuration is the time without faults at the end of a run.
const settleDuration = 15 * time.Second

// Simulation is one run.
type Simulation struct {
	cfg Config
	rnd *rand.Rand
	// startTime is the true time at the start, at what has passed since.
	startTime time.Time
	elapsed   time.Duration
	// eventCount counts recorded events, to give each its own instant.
	eventCount        time.Duration
	queue             eventQueue
	seq               uint64
	disconnectedUntil map[processPair]time.Duration
	// partitionUntil is when the last split of the network ends.
	partitionUntil time.Duration
	store          *kvStore
	entries        []*entry
	agents         []*agent
	callers        *callers
	checker        *checker
}

// processPair is a pair of process names in order.
type processPair struct{ a, b string }

// Report is what a run did and what it broke.
type Report struct {
	History    History
	Violations []string
	Stats      Stats
}

// Stats count what happened, to show that a run was not idle.
type Stats struct {
	Starts, Answers, Done, NotRun, Unknown int
	Takeovers, Faults, DomainsOut          int
}

// Run plays one configuration to its end.
func Run(cfg Config) Report {
	w := &Simulation{
		cfg:               cfg,
		rnd:               rand.New(rand.NewPCG(cfg.Seed, 0)),
		startTime:         time.UnixMilli(1_800_000_000_000),
		disconnectedUntil: map[processPair]time.Duration{},
	}
	w.checker = newChecker(w)
	w.store = newStore(w)
	w.callers = newCallers(w)
	for i := range cfg.Entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range cfg.Agents {
		w.agents = append(w.agents, newAgent(w, i))
	}
	w.bootstrap(w.entries[0])
	for w.elapsed = 0; w.elapsed < cfg.FaultDuration+settleDuration; w.elapsed += stepInterval {
		w.step()
	}
	return w.checker.report()
}

// step does one step.
func (w *Simulation) step() {
	if w.elapsed < w.cfg.FaultDuration && w.chance(float64(stepInterval)/float64(w.cfg.MeanFaultInterval)) {
		w.injectFault()
	}
	w.deliver()
	for _, e := range w.entries {
		e.restartIfDue()
		if e.active() {
			e.step()
		}
	}
	for _, a := range w.agents {
		a.restartIfDue()
		if a.active() {
			a.step()
		}
	}
	w.callers.step()
	w.checker.checkInvariants()
}

// eventTime gives a recorded event an instant of its own.
func (w *Simulation) eventTime() time.Time {
	w.eventCount++
	return w.startTime.Add(w.elapsed + w.eventCount)
}

func (w *Simulation) chance(p float64) bool { return w.rnd.Float64() < p }

// randomDuration returns a random duration of at least lo and less than hi.
func (w *Simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rnd.Int64N(int64(hi-lo)))
}

// messageDelay is how long a message takes: short, now and then long.
func (w *Simulation) messageDelay() time.Duration {
	if w.elapsed < w.cfg.FaultDuration && w.chance(0.004) {
		return w.randomDuration(0, 3*time.Second)
	}
	return w.randomDuration(0, 2*stepInterval)
}

// process is what can be frozen and killed, with a clock of its own.
type process struct {
	sim  *Simulation
	name string
	// boots counts the starts of the process.
	boots       int
	down        bool
	restartAt   time.Duration
	frozenUntil time.Duration
	clockOffset time.Duration
	clockDrift  float64
	// inbox holds what came while the process was frozen.
	inbox []func()
}

func newProcess(w *Simulation, name string) process {
	return process{
		sim:         w,
		name:        name,
		clockOffset: w.randomDuration(-maxClockOffset, maxClockOffset),
		clockDrift:  (2*w.rnd.Float64() - 1) * maxClockDrift,
	}
}

// now is the process's own clock.
func (p *process) now() time.Time {
	return p.sim.startTime.Add(p.clockOffset + p.sim.elapsed + time.Duration(p.clockDrift*float64(p.sim.elapsed)))
}

func (p *process) frozen() bool { return p.sim.elapsed < p.frozenUntil }

// active tells whether the process may do anything now.
func (p *process) active() bool { return !p.down && !p.frozen() }

// deliver handles a message, or keeps it until the process wakes.
func (p *process) deliver(f func()) {
	if p.frozen() || len(p.inbox) > 0 {
		p.inbox = append(p.inbox, f)
		return
	}
	f()
}

// drainInbox handles what came while the process was frozen.
func (p *process) drainInbox() {
	for p.active() && len(p.inbox) > 0 {
		f := p.inbox[0]
		p.inbox = p.inbox[1:]
		f()
	}
}

// event is something that happens to a process later.
type event struct {
	at     time.Duration
	seq    uint64
	target *process
	boots  int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule lets something happen to a process that is still the same then.
func (w *Simulation) schedule(d time.Duration, to *process, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.elapsed + d, seq: w.seq, target: to, boots: to.boots, run: f})
}

// send delivers a message, late or out of order, or loses it.
func (w *Simulation) send(from, to *process, f func()) {
	if w.disconnected(from.name, to.name) || (w.elapsed < w.cfg.FaultDuration && w.chance(0.005)) {
		return
	}
	w.schedule(w.messageDelay(), to, func() {
		if !w.disconnected(from.name, to.name) {
			f()
		}
	})
}

func (w *Simulation) deliver() {
	for len(w.queue) > 0 && w.queue[0].at <= w.elapsed {
		e := heap.Pop(&w.queue).(event)
		if !e.target.down && e.target.boots == e.boots {
			e.target.deliver(e.run)
		}
	}
}

func newProcessPair(a, b string) processPair {
	if a > b {
		a, b = b, a
	}
	return processPair{a, b}
}

func (w *Simulation) disconnected(a, b string) bool {
	return w.elapsed < w.disconnectedUntil[newProcessPair(a, b)]
}

// injectFault breaks something for a while.
func (w *Simulation) injectFault() {
	if w.cfg.PartitionsOnly {
		if w.elapsed >= w.partitionUntil {
			w.checker.stats.Faults++
			w.partition()
		}
		return
	}
	w.checker.stats.Faults++
	switch w.rnd.IntN(13) {
	case 0:
		w.store.unavailableUntil = w.elapsed + w.randomDuration(0, 15*time.Second)
	case 1:
		w.store.slowUntil = w.elapsed + w.randomDuration(0, 10*time.Second)
	case 2:
		w.store.losesAnswersUntil = w.elapsed + w.randomDuration(0, 10*time.Second)
	case 3, 4:
		w.freeze(&w.randomEntry().process)
	case 5:
		w.freeze(&w.randomAgent().process)
	case 6:
		w.randomEntry().kill()
	case 7:
		w.randomAgent().kill()
	case 8:
		w.disconnect(w.randomEntry().name, w.randomEntry().name)
	case 9:
		w.disconnect(w.randomEntry().name, w.randomAgent().name)
	case 10:
		w.disconnect(w.randomEntry().name, w.store.name)
	case 11:
		w.isolate(w.randomEntry())
	case 12:
		w.partition()
	}
}

// partition puts every process on one of two sides for a while. An operator on
// the store's side takes domains out soon after.
func (w *Simulation) partition() {
	w.partitionUntil = w.elapsed + w.randomDuration(3*time.Second, 12*time.Second)
	far := map[string]bool{}
	names := []string{w.store.name}
	for _, e := range w.entries {
		far[e.name] = w.chance(0.5)
		names = append(names, e.name)
		if !far[e.name] {
			w.callers.scheduleDomainOut(e)
		}
	}
	for _, a := range w.agents {
		far[a.name] = w.chance(0.5)
		names = append(names, a.name)
	}
	for _, a := range names {
		for _, b := range names {
			if far[a] && !far[b] {
				w.disconnectedUntil[newProcessPair(a, b)] = w.partitionUntil
			}
		}
	}
}

// hostFails tells whether a process dies with its host, so that its peers
// see no end of their streams.
func (w *Simulation) hostFails() bool { return w.chance(0.3) }

func (w *Simulation) randomEntry() *entry { return w.entries[w.rnd.IntN(len(w.entries))] }
func (w *Simulation) randomAgent() *agent { return w.agents[w.rnd.IntN(len(w.agents))] }

func (w *Simulation) freeze(p *process) {
	p.frozenUntil = w.elapsed + w.randomDuration(0, 8*time.Second)
}

func (w *Simulation) disconnect(a, b string) {
	if a != b {
		w.disconnectedUntil[newProcessPair(a, b)] = w.elapsed + w.randomDuration(0, 8*time.Second)
	}
}

// isolate cuts an entry from the store and the entries, not from the agents.
func (w *Simulation) isolate(e *entry) {
	until := w.elapsed + w.randomDuration(0, 12*time.Second)
	w.disconnectedUntil[newProcessPair(e.name, w.store.name)] = until
	for _, o := range w.entries {
		if o != e {
			w.disconnectedUntil[newProcessPair(e.name, o.name)] = until
		}
	}
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%3) }
