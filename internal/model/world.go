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
	// step is the simulated time between two steps.
	step = 10 * time.Millisecond
	// freshness is the limit that entries and agents share.
	freshness = 3 * time.Second
	// idRetention is shorter than in the product, so that a run outlives it.
	idRetention = 25 * time.Second
	// clockSkew bounds the difference of two entries' clocks.
	clockSkew = time.Second
	// maxOffset and maxDrift bound each clock's difference from true time.
	maxOffset = 300 * time.Millisecond
	maxDrift  = 0.002
)

// Config is what a run is made of.
type Config struct {
	Seed    uint64
	Entries int
	Agents  int
	Cells   int
	// Length is the simulated time with faults; a quiet time follows.
	Length time.Duration
	// FaultEvery is the mean time between two faults.
	FaultEvery time.Duration
	// Splits makes every fault a split of the network, with a domain taken out
	// on the store's side.
	Splits bool
}

// Draw returns a random configuration for a seed.
func Draw(seed uint64) Config {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return Config{
		Seed:       seed,
		Entries:    2 + rnd.IntN(4),
		Agents:     2 + rnd.IntN(4),
		Cells:      1 + rnd.IntN(2),
		Length:     40*time.Second + time.Duration(rnd.IntN(40))*time.Second,
		FaultEvery: time.Duration(200+rnd.IntN(6000)) * time.Millisecond,
		Splits:     seed%2 == 0,
	}
}

// quiet is the time without faults at the end of a run.
const quiet = 15 * time.Second

// World is one run.
type World struct {
	cfg Config
	rnd *rand.Rand
	// begin is the true time at the start, at what has passed since.
	begin time.Time
	at    time.Duration
	// events counts recorded events, to give each its own instant.
	events time.Duration
	queue  eventQueue
	seq    uint64
	cuts   map[link]time.Duration
	// splitTo is when the last split of the network ends.
	splitTo time.Duration
	store   *kvStore
	entries []*entry
	agents  []*agent
	callers *callers
	checks  *checks
}

// link is a pair of process names in order.
type link struct{ a, b string }

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
	w := &World{
		cfg:   cfg,
		rnd:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		begin: time.UnixMilli(1_800_000_000_000),
		cuts:  map[link]time.Duration{},
	}
	w.checks = newChecks(w)
	w.store = newStore(w)
	w.callers = newCallers(w)
	for i := range cfg.Entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range cfg.Agents {
		w.agents = append(w.agents, newAgent(w, i))
	}
	w.found(w.entries[0])
	for w.at = 0; w.at < cfg.Length+quiet; w.at += step {
		w.turn()
	}
	return w.checks.report()
}

// turn does one step.
func (w *World) turn() {
	if w.at < w.cfg.Length && w.chance(float64(step)/float64(w.cfg.FaultEvery)) {
		w.fault()
	}
	w.deliver()
	for _, e := range w.entries {
		e.wake()
		if e.runs() {
			e.turn()
		}
	}
	for _, a := range w.agents {
		a.wake()
		if a.runs() {
			a.turn()
		}
	}
	w.callers.turn()
	w.checks.turn()
}

// stamp gives a recorded event an instant of its own.
func (w *World) stamp() time.Time {
	w.events++
	return w.begin.Add(w.at + w.events)
}

func (w *World) chance(p float64) bool { return w.rnd.Float64() < p }

// between returns a random duration of at least lo and less than hi.
func (w *World) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rnd.Int64N(int64(hi-lo)))
}

// delay is how long a message takes: short, now and then long.
func (w *World) delay() time.Duration {
	if w.at < w.cfg.Length && w.chance(0.004) {
		return w.between(0, 3*time.Second)
	}
	return w.between(0, 2*step)
}

// process is what can be frozen and killed, with a clock of its own.
type process struct {
	w    *World
	name string
	// life counts the starts of the process.
	life     int
	dead     bool
	backAt   time.Duration
	frozenTo time.Duration
	offset   time.Duration
	drift    float64
	// inbox holds what came while the process was frozen.
	inbox []func()
}

func newProcess(w *World, name string) process {
	return process{
		w:      w,
		name:   name,
		offset: w.between(-maxOffset, maxOffset),
		drift:  (2*w.rnd.Float64() - 1) * maxDrift,
	}
}

// now is the process's own clock.
func (p *process) now() time.Time {
	return p.w.begin.Add(p.offset + p.w.at + time.Duration(p.drift*float64(p.w.at)))
}

func (p *process) frozen() bool { return p.w.at < p.frozenTo }

// runs tells whether the process may do anything now.
func (p *process) runs() bool { return !p.dead && !p.frozen() }

// take handles a message, or keeps it until the process wakes.
func (p *process) take(f func()) {
	if p.frozen() || len(p.inbox) > 0 {
		p.inbox = append(p.inbox, f)
		return
	}
	f()
}

// thaw handles what came while the process was frozen.
func (p *process) thaw() {
	for p.runs() && len(p.inbox) > 0 {
		f := p.inbox[0]
		p.inbox = p.inbox[1:]
		f()
	}
}

// event is something that happens to a process later.
type event struct {
	at   time.Duration
	seq  uint64
	to   *process
	life int
	f    func()
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

// after lets something happen to a process that is still the same then.
func (w *World) after(d time.Duration, to *process, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.at + d, seq: w.seq, to: to, life: to.life, f: f})
}

// send delivers a message, late or out of order, or loses it.
func (w *World) send(from, to *process, f func()) {
	if w.cut(from.name, to.name) || (w.at < w.cfg.Length && w.chance(0.005)) {
		return
	}
	w.after(w.delay(), to, func() {
		if !w.cut(from.name, to.name) {
			f()
		}
	})
}

func (w *World) deliver() {
	for len(w.queue) > 0 && w.queue[0].at <= w.at {
		e := heap.Pop(&w.queue).(event)
		if !e.to.dead && e.to.life == e.life {
			e.to.take(e.f)
		}
	}
}

func pair(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

func (w *World) cut(a, b string) bool { return w.at < w.cuts[pair(a, b)] }

// fault breaks something for a while.
func (w *World) fault() {
	if w.cfg.Splits {
		if w.at >= w.splitTo {
			w.checks.stats.Faults++
			w.split()
		}
		return
	}
	w.checks.stats.Faults++
	switch w.rnd.IntN(13) {
	case 0:
		w.store.awayTo = w.at + w.between(0, 15*time.Second)
	case 1:
		w.store.slowTo = w.at + w.between(0, 10*time.Second)
	case 2:
		w.store.losesTo = w.at + w.between(0, 10*time.Second)
	case 3, 4:
		w.freeze(&w.anyEntry().process)
	case 5:
		w.freeze(&w.anyAgent().process)
	case 6:
		w.anyEntry().kill()
	case 7:
		w.anyAgent().kill()
	case 8:
		w.cutPair(w.anyEntry().name, w.anyEntry().name)
	case 9:
		w.cutPair(w.anyEntry().name, w.anyAgent().name)
	case 10:
		w.cutPair(w.anyEntry().name, w.store.name)
	case 11:
		w.island(w.anyEntry())
	case 12:
		w.split()
	}
}

// split puts every process on one of two sides for a while. An operator on
// the store's side takes domains out soon after.
func (w *World) split() {
	w.splitTo = w.at + w.between(3*time.Second, 12*time.Second)
	far := map[string]bool{}
	names := []string{w.store.name}
	for _, e := range w.entries {
		far[e.name] = w.chance(0.5)
		names = append(names, e.name)
		if !far[e.name] {
			w.callers.operateSoon(e)
		}
	}
	for _, a := range w.agents {
		far[a.name] = w.chance(0.5)
		names = append(names, a.name)
	}
	for _, a := range names {
		for _, b := range names {
			if far[a] && !far[b] {
				w.cuts[pair(a, b)] = w.splitTo
			}
		}
	}
}

// silentDeath tells whether a process dies with its host, so that its peers
// see no end of their streams.
func (w *World) silentDeath() bool { return w.chance(0.3) }

func (w *World) anyEntry() *entry { return w.entries[w.rnd.IntN(len(w.entries))] }
func (w *World) anyAgent() *agent { return w.agents[w.rnd.IntN(len(w.agents))] }

func (w *World) freeze(p *process) {
	p.frozenTo = w.at + w.between(0, 8*time.Second)
}

func (w *World) cutPair(a, b string) {
	if a != b {
		w.cuts[pair(a, b)] = w.at + w.between(0, 8*time.Second)
	}
}

// island cuts an entry from the store and the entries, not from the agents.
func (w *World) island(e *entry) {
	until := w.at + w.between(0, 12*time.Second)
	w.cuts[pair(e.name, w.store.name)] = until
	for _, o := range w.entries {
		if o != e {
			w.cuts[pair(e.name, o.name)] = until
		}
	}
}

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%3) }
