// Package model simulates the decision cores of the system in one process, from
// one seed: several entries (internal/control, internal/cell, internal/sched),
// agents (internal/gate), callers and the platform's store. Messages are
// delayed, lost or reordered; processes are paused, killed and restarted;
// clocks differ; the store is unavailable, slow, or loses its responses. Time
// is simulated. Invariants are checked after each step. At the end,
// test/oracle, which shares no code with the product, can check the history of
// starts and answers.
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
	// freshness is the freshness limit of entries and agents.
	freshness = 3 * time.Second
	// idRetention is shorter than in the product, so that IDs expire within a
	// run.
	idRetention = 25 * time.Second
	// clockSkew bounds the difference between two entries' clocks.
	clockSkew = time.Second
	// maxClockOffset and maxClockDrift bound each clock's difference from true
	// time.
	maxClockOffset = 300 * time.Millisecond
	maxClockDrift  = 0.002
)

// Config configures a run.
type Config struct {
	Seed    uint64
	Entries int
	Agents  int
	Cells   int
	// FaultDuration is the simulated time with faults. A time without faults
	// follows.
	FaultDuration time.Duration
	// MeanFaultInterval is the mean time between two faults.
	MeanFaultInterval time.Duration
	// PartitionsOnly makes every fault a network partition, during which a
	// domain is taken out of service on the store's side.
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
	// startTime is the true time at the start of the run, elapsed the simulated
	// time since then.
	startTime time.Time
	elapsed   time.Duration
	// eventCount counts recorded events, in order to give each a distinct time.
	eventCount        time.Duration
	queue             eventQueue
	seq               uint64
	disconnectedUntil map[processPair]time.Duration
	// partitionUntil is when the last network partition ends.
	partitionUntil time.Duration
	store          *kvStore
	entries        []*entry
	agents         []*agent
	callers        *callers
	checker        *checker
}

// processPair is a pair of process names, in lexical order.
type processPair struct{ a, b string }

// Report is the result of a run.
type Report struct {
	History    History
	Violations []string
	Stats      Stats
}

// Stats counts events, to show that a run was not idle.
type Stats struct {
	Starts, Answers, Done, NotRun, Unknown int
	Takeovers, Faults, DomainsOut          int
}

// Run simulates one configuration to its end.
func Run(cfg Config) Report {
	sim := &Simulation{
		cfg:               cfg,
		rnd:               rand.New(rand.NewPCG(cfg.Seed, 0)),
		startTime:         time.UnixMilli(1_800_000_000_000),
		disconnectedUntil: map[processPair]time.Duration{},
	}
	sim.checker = newChecker(sim)
	sim.store = newStore(sim)
	sim.callers = newCallers(sim)
	for i := range cfg.Entries {
		sim.entries = append(sim.entries, newEntry(sim, i))
	}
	for i := range cfg.Agents {
		sim.agents = append(sim.agents, newAgent(sim, i))
	}
	sim.bootstrap(sim.entries[0])
	for sim.elapsed = 0; sim.elapsed < cfg.FaultDuration+settleDuration; sim.elapsed += stepInterval {
		sim.step()
	}
	return sim.checker.report()
}

// step simulates what happens at the current time.
func (sim *Simulation) step() {
	if sim.elapsed < sim.cfg.FaultDuration && sim.chance(float64(stepInterval)/float64(sim.cfg.MeanFaultInterval)) {
		sim.injectFault()
	}
	sim.deliver()
	for _, e := range sim.entries {
		e.restartIfDue()
		if e.active() {
			e.step()
		}
	}
	for _, a := range sim.agents {
		a.restartIfDue()
		if a.active() {
			a.step()
		}
	}
	sim.callers.step()
	sim.checker.checkInvariants()
}

// eventTime returns a distinct time for a recorded event.
func (sim *Simulation) eventTime() time.Time {
	sim.eventCount++
	return sim.startTime.Add(sim.elapsed + sim.eventCount)
}

func (sim *Simulation) chance(p float64) bool { return sim.rnd.Float64() < p }

// randomDuration returns a random duration in [lo, hi).
func (sim *Simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.rnd.Int64N(int64(hi-lo)))
}

// messageDelay returns a random delay of a message: usually short, occasionally
// long.
func (sim *Simulation) messageDelay() time.Duration {
	if sim.elapsed < sim.cfg.FaultDuration && sim.chance(0.004) {
		return sim.randomDuration(0, 3*time.Second)
	}
	return sim.randomDuration(0, 2*stepInterval)
}

// process can be paused and killed, and has a clock of its own.
type process struct {
	sim  *Simulation
	name string
	// boots counts the starts of the process.
	boots       int
	down        bool
	restartAt   time.Duration
	pausedUntil time.Duration
	clockOffset time.Duration
	clockDrift  float64
	// inbox holds the messages that arrived while the process was paused.
	inbox []func()
}

func newProcess(sim *Simulation, name string) process {
	return process{
		sim:         sim,
		name:        name,
		clockOffset: sim.randomDuration(-maxClockOffset, maxClockOffset),
		clockDrift:  (2*sim.rnd.Float64() - 1) * maxClockDrift,
	}
}

// now returns the process's own clock.
func (p *process) now() time.Time {
	return p.sim.startTime.Add(p.clockOffset + p.sim.elapsed + time.Duration(p.clockDrift*float64(p.sim.elapsed)))
}

func (p *process) paused() bool { return p.sim.elapsed < p.pausedUntil }

// active reports whether the process is neither killed nor paused.
func (p *process) active() bool { return !p.down && !p.paused() }

// deliver handles a message, or queues it while the process is paused.
func (p *process) deliver(f func()) {
	if p.paused() || len(p.inbox) > 0 {
		p.inbox = append(p.inbox, f)
		return
	}
	f()
}

// drainInbox handles the messages that arrived while the process was paused.
func (p *process) drainInbox() {
	for p.active() && len(p.inbox) > 0 {
		f := p.inbox[0]
		p.inbox = p.inbox[1:]
		f()
	}
}

// event is a function to be run at a process later.
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

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule runs f at the target after d, unless the target has been killed or
// restarted by then.
func (sim *Simulation) schedule(d time.Duration, target *process, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.elapsed + d, seq: sim.seq, target: target, boots: target.boots, run: f})
}

// send delivers a message with a random delay, or loses it. Messages may be
// reordered.
func (sim *Simulation) send(from, to *process, f func()) {
	if sim.disconnected(from.name, to.name) || (sim.elapsed < sim.cfg.FaultDuration && sim.chance(0.005)) {
		return
	}
	sim.schedule(sim.messageDelay(), to, func() {
		if !sim.disconnected(from.name, to.name) {
			f()
		}
	})
}

func (sim *Simulation) deliver() {
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.elapsed {
		e := heap.Pop(&sim.queue).(event)
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

func (sim *Simulation) disconnected(a, b string) bool {
	return sim.elapsed < sim.disconnectedUntil[newProcessPair(a, b)]
}

// injectFault injects a random fault that ends by itself.
func (sim *Simulation) injectFault() {
	if sim.cfg.PartitionsOnly {
		if sim.elapsed >= sim.partitionUntil {
			sim.checker.stats.Faults++
			sim.partition()
		}
		return
	}
	sim.checker.stats.Faults++
	switch sim.rnd.IntN(13) {
	case 0:
		sim.store.unavailableUntil = sim.elapsed + sim.randomDuration(0, 15*time.Second)
	case 1:
		sim.store.slowUntil = sim.elapsed + sim.randomDuration(0, 10*time.Second)
	case 2:
		sim.store.losesAnswersUntil = sim.elapsed + sim.randomDuration(0, 10*time.Second)
	case 3, 4:
		sim.pause(&sim.randomEntry().process)
	case 5:
		sim.pause(&sim.randomAgent().process)
	case 6:
		sim.randomEntry().kill()
	case 7:
		sim.randomAgent().kill()
	case 8:
		sim.disconnect(sim.randomEntry().name, sim.randomEntry().name)
	case 9:
		sim.disconnect(sim.randomEntry().name, sim.randomAgent().name)
	case 10:
		sim.disconnect(sim.randomEntry().name, sim.store.name)
	case 11:
		sim.isolate(sim.randomEntry())
	case 12:
		sim.partition()
	}
}

// partition assigns every process to one of two sides that are disconnected for
// a while. An operator on the store's side takes domains out of service soon
// after.
func (sim *Simulation) partition() {
	sim.partitionUntil = sim.elapsed + sim.randomDuration(3*time.Second, 12*time.Second)
	farSide := map[string]bool{}
	names := []string{sim.store.name}
	for _, e := range sim.entries {
		farSide[e.name] = sim.chance(0.5)
		names = append(names, e.name)
		if !farSide[e.name] {
			sim.callers.scheduleDomainOut(e)
		}
	}
	for _, a := range sim.agents {
		farSide[a.name] = sim.chance(0.5)
		names = append(names, a.name)
	}
	for _, a := range names {
		for _, b := range names {
			if farSide[a] && !farSide[b] {
				sim.disconnectedUntil[newProcessPair(a, b)] = sim.partitionUntil
			}
		}
	}
}

// hostFails reports whether a killed process fails with its host, so that its
// peers don't see the end of their streams.
func (sim *Simulation) hostFails() bool { return sim.chance(0.3) }

func (sim *Simulation) randomEntry() *entry { return sim.entries[sim.rnd.IntN(len(sim.entries))] }
func (sim *Simulation) randomAgent() *agent { return sim.agents[sim.rnd.IntN(len(sim.agents))] }

func (sim *Simulation) pause(p *process) {
	p.pausedUntil = sim.elapsed + sim.randomDuration(0, 8*time.Second)
}

func (sim *Simulation) disconnect(a, b string) {
	if a != b {
		sim.disconnectedUntil[newProcessPair(a, b)] = sim.elapsed + sim.randomDuration(0, 8*time.Second)
	}
}

// isolate disconnects an entry from the store and the other entries, but not
// from the agents.
func (sim *Simulation) isolate(e *entry) {
	until := sim.elapsed + sim.randomDuration(0, 12*time.Second)
	sim.disconnectedUntil[newProcessPair(e.name, sim.store.name)] = until
	for _, o := range sim.entries {
		if o != e {
			sim.disconnectedUntil[newProcessPair(e.name, o.name)] = until
		}
	}
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%3) }
